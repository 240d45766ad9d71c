package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Entry instances that place generations at engines by the rules of the product, in simulated time.
 * An engine reads one prompt after the other and then writes its tokens beside the others.
 * Instances learn of each other's work as often as they send heartbeats.
 */
final class SimulatedFleet {

  private static final double PREFILL_TOKENS_PER_MILLI = 140;
  private static final double MILLIS_PER_OUTPUT_TOKEN = 4;
  private static final double FIRST_TOKEN_MILLIS = 55;
  private static final double HEARTBEAT_MILLIS = 150;
  private static final double HEARTBEAT_DELAY_MILLIS = 10;
  private static final double RETRY_MILLIS = 50;

  private final SplittableRandom random;
  private final List<RelayTarget> engines = new ArrayList<>();
  private final Map<String, Double> prefillEndMillis = new HashMap<>();
  private final List<RelayLoadTable> tables = new ArrayList<>();
  private final RelayPlacement placement = RelayPlacement.forDataCentre("dc-1");
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, List<Double>> firstTokenMillisByKind = new HashMap<>();
  private double nowMillis;
  private long nextEvent;
  private int nextRequest;

  SimulatedFleet(long seed, int instances, int engineCount) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(TestRequests.target("engine-" + i));
    }
    for (int i = 0; i < instances; i++) {
      tables.add(RelayLoadTable.create());
    }
  }

  /**
   * A kind of request.
   *
   * @param perSecond requests a second in the mean
   * @param contextTokens tokens of the context in the mean
   * @param ownTokens tokens of the prompt besides it in the mean
   * @param output tokens that are written in the mean
   * @param storedShare share of the requests whose context a store holds
   */
  record Kind(
      String name,
      double perSecond,
      int contextTokens,
      int ownTokens,
      int outputTokens,
      double storedShare) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  /** Plays requests that come in clumps, on a load that rises and falls by {@code swing}. */
  void simulate(List<Kind> kinds, Duration length, double swing, int clump) {
    exchangeHeartbeats();
    kinds.forEach(kind -> scheduleArrivals(kind, length.toMillis(), swing, clump));
    while (!events.isEmpty() && events.peek().atMillis() < length.toMillis()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }

  /** Returns the time to the first token that a part of the requests of a kind stays within, ms. */
  double firstTokenMillis(String kind, double part) {
    List<Double> sorted = firstTokenMillisByKind.get(kind).stream().sorted().toList();
    return sorted.get((int) (part * (sorted.size() - 1)));
  }

  private void schedule(double millis, Runnable work) {
    events.add(new Event(nowMillis + millis, nextEvent++, work));
  }

  private Instant instant() {
    return TestRequests.NOW.plusNanos((long) (nowMillis * 1e6));
  }

  private void exchangeHeartbeats() {
    List<List<TargetWork>> told = tables.stream().map(RelayLoadTable::localLoad).toList();
    schedule(
        HEARTBEAT_DELAY_MILLIS,
        () -> {
          for (int i = 0; i < tables.size(); i++) {
            tables.get(i).setRemoteLoad(sumExcept(told, i), instant());
          }
        });
    schedule(HEARTBEAT_MILLIS, this::exchangeHeartbeats);
  }

  private static List<TargetWork> sumExcept(List<List<TargetWork>> told, int left) {
    Map<String, TargetWork> sum = new HashMap<>();
    for (int i = 0; i < told.size(); i++) {
      if (i != left) {
        told.get(i).forEach(work -> sum.merge(work.target(), work, SimulatedFleet::add));
      }
    }
    return List.copyOf(sum.values());
  }

  private static TargetWork add(TargetWork one, TargetWork other) {
    return TargetWork.of(
        one.target(),
        one.requests() + other.requests(),
        one.tokens() + other.tokens(),
        one.backlogMillis() + other.backlogMillis());
  }

  private void scheduleArrivals(Kind kind, long lengthMillis, double swing, int clump) {
    double load = 1 + swing * Math.sin(2 * Math.PI * nowMillis / lengthMillis);
    double gap = -Math.log(1 - random.nextDouble()) * 1000 * clump / (kind.perSecond() * load);
    schedule(
        gap,
        () -> {
          for (int i = 0; i < clump; i++) {
            arrive(kind);
          }
          scheduleArrivals(kind, lengthMillis, swing, clump);
        });
  }

  private void arrive(Kind kind) {
    int number = nextRequest++;
    PromptPart context =
        new PromptPart("context-" + random.nextInt(500), randomAround(kind.contextTokens()));
    PromptPart own = new PromptPart("own-" + number, randomAround(kind.ownTokens()));
    ResolvedRequest work =
        TestRequests.withRequestId(TestRequests.generation(context, own), "request-" + number);
    int stored = random.nextDouble() < kind.storedShare() ? context.tokens() : 0;
    place(kind, work, stored, tables.get(random.nextInt(tables.size())), nowMillis);
  }

  private int randomAround(int mean) {
    return (int) (mean * (0.3 + 1.4 * random.nextDouble()));
  }

  private void place(
      Kind kind, ResolvedRequest work, int stored, RelayLoadTable table, double begun) {
    Optional<RelayPlacement.Choice> choice =
        placement.choose(work, engines, table, stored, Set.of(), tables.size(), instant());
    if (choice.isEmpty()) {
      schedule(RETRY_MILLIS, () -> place(kind, work, stored, table, begun));
      return;
    }
    RelayTarget engine = choice.get().target();
    RelayLoadTable.InFlightRequest run =
        table.recordSent(engine, work, choice.get().firstTokenMillis());
    double reading = (work.request().promptTokens() - stored) / PREFILL_TOKENS_PER_MILLI;
    double read = Math.max(nowMillis, prefillEndMillis.getOrDefault(engine.id(), 0.0)) + reading;
    prefillEndMillis.put(engine.id(), read);
    double first = read + FIRST_TOKEN_MILLIS - nowMillis;
    firstTokenMillisByKind
        .computeIfAbsent(kind.name(), name -> new ArrayList<>())
        .add(nowMillis + first - begun);
    schedule(first, () -> table.recordFirstToken(run));
    schedule(
        first + randomAround(kind.outputTokens()) * MILLIS_PER_OUTPUT_TOKEN,
        () -> table.recordEnded(run));
  }
}

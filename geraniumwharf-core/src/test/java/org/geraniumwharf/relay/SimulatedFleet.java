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
 * Entry instances that place generations at engines with {@link RelayPlacement}, in simulated time.
 * An engine computes one prompt after the other and generates the tokens of all its requests
 * concurrently. Instances report their load to each other with every heartbeat.
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
      tables.add(RelayLoadTable.forInstance("entry-" + i));
    }
  }

  /**
   * A kind of request.
   *
   * @param perSecond mean rate, requests a second
   * @param contextTokens mean tokens of the context
   * @param ownTokens mean tokens of the prompt besides the context
   * @param outputTokens mean tokens generated
   * @param storedShare share of the requests whose context a cache store holds
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

  /**
   * Simulates requests that arrive in bursts, on a load that varies by the factor {@code swing}
   * around its mean.
   */
  void simulate(List<Kind> kinds, Duration length, double swing, int burstSize) {
    exchangeHeartbeats();
    kinds.forEach(kind -> scheduleArrivals(kind, length.toMillis(), swing, burstSize));
    while (!events.isEmpty() && events.peek().atMillis() < length.toMillis()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }

  /** Returns a quantile of the time to the first token of the requests of a kind, ms. */
  double firstTokenMillis(String kind, double quantile) {
    List<Double> sorted = firstTokenMillisByKind.get(kind).stream().sorted().toList();
    return sorted.get((int) (quantile * (sorted.size() - 1)));
  }

  private void schedule(double delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextEvent++, action));
  }

  private Instant instant() {
    return TestRequests.NOW.plusNanos((long) (nowMillis * 1e6));
  }

  private void exchangeHeartbeats() {
    List<List<TargetWork>> reports = tables.stream().map(RelayLoadTable::localLoad).toList();
    schedule(
        HEARTBEAT_DELAY_MILLIS,
        () -> {
          for (int i = 0; i < tables.size(); i++) {
            tables.get(i).setRemoteLoad(sumExcept(reports, i), instant());
          }
        });
    schedule(HEARTBEAT_MILLIS, this::exchangeHeartbeats);
  }

  private static List<TargetWork> sumExcept(List<List<TargetWork>> reports, int excluded) {
    Map<String, TargetWork> sum = new HashMap<>();
    for (int i = 0; i < reports.size(); i++) {
      if (i != excluded) {
        reports.get(i).forEach(work -> sum.merge(work.target(), work, SimulatedFleet::add));
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

  private void scheduleArrivals(Kind kind, long lengthMillis, double swing, int burstSize) {
    double load = 1 + swing * Math.sin(2 * Math.PI * nowMillis / lengthMillis);
    double gapMillis =
        -Math.log(1 - random.nextDouble()) * 1000 * burstSize / (kind.perSecond() * load);
    schedule(
        gapMillis,
        () -> {
          for (int i = 0; i < burstSize; i++) {
            arrive(kind);
          }
          scheduleArrivals(kind, lengthMillis, swing, burstSize);
        });
  }

  private void arrive(Kind kind) {
    int number = nextRequest++;
    PromptPart context =
        new PromptPart("context-" + random.nextInt(500), randomAround(kind.contextTokens()));
    PromptPart own = new PromptPart("own-" + number, randomAround(kind.ownTokens()));
    ResolvedRequest resolved =
        TestRequests.withRequestId(TestRequests.generation(context, own), "request-" + number);
    int stored = random.nextDouble() < kind.storedShare() ? context.tokens() : 0;
    place(kind, resolved, stored, tables.get(random.nextInt(tables.size())), nowMillis);
  }

  private int randomAround(int mean) {
    return (int) (mean * (0.3 + 1.4 * random.nextDouble()));
  }

  private void place(
      Kind kind, ResolvedRequest resolved, int stored, RelayLoadTable table, double arrivedMillis) {
    Optional<RelayPlacement.Choice> choice =
        placement.choose(
            new PlacementQuery(
                resolved, engines, Set.of(), tables.size(), stored, TestRequests.RATES, instant()),
            table);
    if (choice.isEmpty()) {
      schedule(RETRY_MILLIS, () -> place(kind, resolved, stored, table, arrivedMillis));
      return;
    }
    RelayTarget engine = choice.get().target();
    RelayLoadTable.InFlightRequest sent =
        table.recordSent(engine, resolved, choice.get().firstTokenMillis());
    double prefillMillis = (resolved.request().promptTokens() - stored) / PREFILL_TOKENS_PER_MILLI;
    double prefillEnd =
        Math.max(nowMillis, prefillEndMillis.getOrDefault(engine.id(), 0.0)) + prefillMillis;
    prefillEndMillis.put(engine.id(), prefillEnd);
    double firstTokenAfter = prefillEnd + FIRST_TOKEN_MILLIS - nowMillis;
    firstTokenMillisByKind
        .computeIfAbsent(kind.name(), name -> new ArrayList<>())
        .add(nowMillis + firstTokenAfter - arrivedMillis);
    schedule(firstTokenAfter, () -> table.recordFirstToken(sent));
    schedule(
        firstTokenAfter + randomAround(kind.outputTokens()) * MILLIS_PER_OUTPUT_TOKEN,
        () -> table.recordEnded(sent));
  }
}

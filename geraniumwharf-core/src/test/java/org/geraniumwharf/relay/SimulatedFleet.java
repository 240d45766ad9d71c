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
  private static final double EXCHANGE_MILLIS = 150;
  private static final double EXCHANGE_DELAY_MILLIS = 10;
  private static final double RETRY_MILLIS = 50;

  private final SplittableRandom random;
  private final List<RelayTarget> engines = new ArrayList<>();
  private final Map<String, Double> readsUntil = new HashMap<>();
  private final List<RelayLoadTable> tables = new ArrayList<>();
  private final RelayPlacement placement = RelayPlacement.in("dc-1");
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final Map<String, List<Double>> firstTokens = new HashMap<>();
  private double now;
  private long nextStep;
  private int nextRequest;

  SimulatedFleet(long seed, int instances, int engineCount) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(Works.target("engine-" + i));
    }
    for (int i = 0; i < instances; i++) {
      tables.add(RelayLoadTable.create());
    }
  }

  /**
   * A kind of request.
   *
   * @param perSecond requests a second in the mean
   * @param shared tokens of the context in the mean
   * @param own tokens of the prompt besides it in the mean
   * @param output tokens that are written in the mean
   * @param storedShare share of the requests whose context a store holds
   */
  record Kind(String name, double perSecond, int shared, int own, int output, double storedShare) {}

  private record Step(double at, long number, Runnable work) implements Comparable<Step> {

    @Override
    public int compareTo(Step other) {
      int byTime = Double.compare(at, other.at);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  /** Plays requests that come in clumps, on a load that rises and falls by {@code swing}. */
  void play(List<Kind> kinds, Duration length, double swing, int clump) {
    exchange();
    kinds.forEach(kind -> arrive(kind, length.toMillis(), swing, clump));
    while (!steps.isEmpty() && steps.peek().at() < length.toMillis()) {
      Step next = steps.poll();
      now = next.at();
      next.work().run();
    }
  }

  /** Returns the time to the first token that a part of the requests of a kind stays within, ms. */
  double firstTokenMillis(String kind, double part) {
    List<Double> sorted = firstTokens.get(kind).stream().sorted().toList();
    return sorted.get((int) (part * (sorted.size() - 1)));
  }

  private void after(double millis, Runnable work) {
    steps.add(new Step(now + millis, nextStep++, work));
  }

  private Instant instant() {
    return Works.NOW.plusNanos((long) (now * 1e6));
  }

  private void exchange() {
    List<List<TargetWork>> told = tables.stream().map(RelayLoadTable::own).toList();
    after(
        EXCHANGE_DELAY_MILLIS,
        () -> {
          for (int i = 0; i < tables.size(); i++) {
            tables.get(i).others(sumWithout(told, i), instant());
          }
        });
    after(EXCHANGE_MILLIS, this::exchange);
  }

  private static List<TargetWork> sumWithout(List<List<TargetWork>> told, int left) {
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

  private void arrive(Kind kind, long lengthMillis, double swing, int clump) {
    double load = 1 + swing * Math.sin(2 * Math.PI * now / lengthMillis);
    double gap = -Math.log(1 - random.nextDouble()) * 1000 * clump / (kind.perSecond() * load);
    after(
        gap,
        () -> {
          for (int i = 0; i < clump; i++) {
            request(kind);
          }
          arrive(kind, lengthMillis, swing, clump);
        });
  }

  private void request(Kind kind) {
    int number = nextRequest++;
    PromptPart context = new PromptPart("context-" + random.nextInt(500), around(kind.shared()));
    PromptPart own = new PromptPart("own-" + number, around(kind.own()));
    RelayWork work = Works.renamed(Works.generation(context, own), "request-" + number);
    int stored = random.nextDouble() < kind.storedShare() ? context.tokens() : 0;
    place(kind, work, stored, tables.get(random.nextInt(tables.size())), now);
  }

  private int around(int mean) {
    return (int) (mean * (0.3 + 1.4 * random.nextDouble()));
  }

  private void place(Kind kind, RelayWork work, int stored, RelayLoadTable table, double begun) {
    Optional<RelayPlacement.Choice> choice =
        placement.choose(work, engines, table, stored, Set.of(), tables.size(), instant());
    if (choice.isEmpty()) {
      after(RETRY_MILLIS, () -> place(kind, work, stored, table, begun));
      return;
    }
    RelayTarget engine = choice.get().target();
    RelayLoadTable.Run run = table.sent(engine, work, choice.get().firstTokenMillis());
    double reading = (work.request().promptTokens() - stored) / PREFILL_TOKENS_PER_MILLI;
    double read = Math.max(now, readsUntil.getOrDefault(engine.id(), 0.0)) + reading;
    readsUntil.put(engine.id(), read);
    double first = read + FIRST_TOKEN_MILLIS - now;
    firstTokens.computeIfAbsent(kind.name(), name -> new ArrayList<>()).add(now + first - begun);
    after(first, () -> table.answering(run));
    after(first + around(kind.output()) * MILLIS_PER_OUTPUT_TOKEN, () -> table.ended(run));
  }
}

package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Replays generations that many entry instances place at engines of different speed. An engine
 * computes prompts one after the other in chunks, and generates the tokens of all its requests
 * concurrently. Reports are as old as in production.
 */
final class EngineLoadReplay {

  private static final double PREFILL_TOKENS_PER_MILLI = 64.2;
  private static final double MILLIS_PER_OUTPUT_TOKEN = 4.23;
  private static final int CHUNK_TOKENS = 2048;
  private static final int HEARTBEAT_MILLIS = 150;
  private static final int REPORT_DELAY_MILLIS = 20;
  private static final int QUEUE_MILLIS = 60;
  private static final int CONTEXTS = 400;
  private static final EngineRates RATES = new EngineRates(PREFILL_TOKENS_PER_MILLI, 240);

  /** Time at the start that is not measured, in which speeds and costs are learned. */
  private static final int WARM_UP_MILLIS = 5000;

  private final RelayPlacement placement;
  private final SharedSpeeds speeds = SharedSpeeds.create();
  private final boolean isShared;
  private final SplittableRandom random;
  private final Speed speed;
  private final List<Kind> kinds;
  private final List<RelayTarget> targets = new ArrayList<>();
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<RelayLoadTable> tables = new ArrayList<>();
  private final List<List<TargetWork>> reports = new ArrayList<>();
  private final Map<String, TargetWork> totals = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Double> waits = new ArrayList<>();
  private double nowMillis;
  private long nextEvent;
  private int nextRequest;
  private long mostHeldTokens;
  private int queued;
  private int placed;

  /** Returns the factor by which an engine is slower at a time. */
  interface Speed {
    double slowness(int engine, double atMillis);
  }

  /**
   * A kind of request.
   *
   * @param perSecond requests a second over all instances
   * @param contextTokens tokens of the prompt that requests of the same context share
   * @param ownTokens tokens of the prompt besides
   * @param outputTokens mean tokens generated
   * @param maxOutputTokens most tokens generated, which the request states
   */
  record Kind(
      String name,
      double perSecond,
      int contextTokens,
      int ownTokens,
      int outputTokens,
      int maxOutputTokens) {}

  /**
   * What was seen.
   *
   * @param p50Millis median time from arrival to the first token
   * @param p99Millis 99th percentile of it
   * @param queuedShare share of the decisions that found no target
   * @param mostHeldTokens most tokens that an engine held at a time
   */
  record Result(double p50Millis, double p99Millis, double queuedShare, long mostHeldTokens) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  EngineLoadReplay(
      boolean isLearning,
      boolean isShared,
      int instances,
      int engineCount,
      Speed speed,
      List<Kind> kinds,
      long seed) {
    this.placement =
        RelayPlacement.of(
            isLearning ? PlacementRules.learned("dc-1") : PlacementRules.standard("dc-1"));
    this.isShared = isShared;
    this.speed = speed;
    this.kinds = kinds;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < engineCount; i++) {
      RelayTarget target = TestRequests.target("engine-" + i);
      targets.add(target);
      engines.put(target.id(), new Engine(i));
    }
    for (int i = 0; i < instances; i++) {
      RelayLoadTable table = RelayLoadTable.forInstance("entry-" + i);
      if (isLearning) {
        table.startLearning();
      }
      tables.add(table);
      reports.add(List.of());
    }
  }

  Result run(int seconds) {
    for (int i = 0; i < tables.size(); i++) {
      int instance = i;
      schedule(random.nextDouble() * HEARTBEAT_MILLIS, () -> report(instance));
    }
    kinds.forEach(this::scheduleArrival);
    double lengthMillis = WARM_UP_MILLIS + seconds * 1000.0;
    while (!events.isEmpty() && events.peek().atMillis() < lengthMillis) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    List<Double> sorted = waits.stream().sorted().toList();
    return new Result(
        sorted.get(sorted.size() / 2),
        sorted.get((int) (0.99 * sorted.size())),
        (double) queued / placed,
        mostHeldTokens);
  }

  private void schedule(double delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextEvent++, action));
  }

  private Instant now() {
    return TestRequests.NOW.plusNanos((long) (nowMillis * 1e6));
  }

  // ------------------------------------------------------------------ reports

  private void report(int instance) {
    List<TargetWork> sent = tables.get(instance).localLoad(now());
    List<TargetSpeed> measured = tables.get(instance).takeSpeeds(now());
    schedule(
        REPORT_DELAY_MILLIS / 2.0,
        () -> {
          reports
              .get(instance)
              .forEach(work -> totals.merge(work.target(), work, (a, b) -> add(a, b, -1)));
          sent.forEach(work -> totals.merge(work.target(), work, (a, b) -> add(a, b, 1)));
          reports.set(instance, sent);
          List<TargetWork> others = totalsExcept(sent);
          speeds.record(measured, now());
          List<TargetSpeed> unusual = isShared ? speeds.unusual(now()) : List.of();
          schedule(
              REPORT_DELAY_MILLIS / 2.0,
              () -> {
                tables.get(instance).setRemoteLoad(others, now());
                if (isShared) {
                  tables.get(instance).setSharedSpeeds(unusual, now());
                }
              });
        });
    schedule(HEARTBEAT_MILLIS, () -> report(instance));
  }

  private List<TargetWork> totalsExcept(List<TargetWork> own) {
    Map<String, TargetWork> others = new HashMap<>(totals);
    own.forEach(work -> others.merge(work.target(), work, (a, b) -> add(a, b, -1)));
    return others.values().stream().filter(work -> work.requests() > 0).toList();
  }

  private static TargetWork add(TargetWork one, TargetWork other, int sign) {
    return TargetWork.of(
        one.target(),
        one.requests() + sign * other.requests(),
        one.tokens() + sign * other.tokens(),
        one.backlogMillis() + sign * other.backlogMillis());
  }

  // ----------------------------------------------------------------- requests

  private void scheduleArrival(Kind kind) {
    double gap = -Math.log1p(-random.nextDouble()) * 1000 / kind.perSecond();
    schedule(
        gap,
        () -> {
          arrive(kind);
          scheduleArrival(kind);
        });
  }

  private void arrive(Kind kind) {
    int number = nextRequest++;
    String context = kind.name() + "-" + random.nextInt(CONTEXTS);
    PromptPart shared = new PromptPart(context, kind.contextTokens());
    int own = (int) (kind.ownTokens() * (0.3 + 1.4 * random.nextDouble()));
    ResolvedRequest request =
        TestRequests.generation(
            kind.name(),
            "request-" + number,
            kind.maxOutputTokens(),
            shared,
            new PromptPart("own-" + number, own));
    double length = -Math.log1p(-random.nextDouble()) * kind.outputTokens();
    int output = (int) Math.max(1, Math.min(kind.maxOutputTokens(), length));
    place(new Work(request, context, output, nowMillis), tables.get(random.nextInt(tables.size())));
  }

  /** A request and what the engines find out of it only. */
  private final class Work {

    private final ResolvedRequest request;
    private final String context;
    private final int outputTokens;
    private final double arrivedMillis;
    private RelayLoadTable.InFlightRequest sent;
    private RelayLoadTable table;
    private double firstTokenMillis = Double.POSITIVE_INFINITY;
    private double millisPerToken = MILLIS_PER_OUTPUT_TOKEN;

    private Work(ResolvedRequest request, String context, int outputTokens, double arrivedMillis) {
      this.request = request;
      this.context = context;
      this.outputTokens = outputTokens;
      this.arrivedMillis = arrivedMillis;
    }

    private double heldTokens() {
      double generated = Math.max(0, (nowMillis - firstTokenMillis) / millisPerToken);
      return request.request().promptTokens() + Math.min(outputTokens, generated);
    }
  }

  private void place(Work work, RelayLoadTable table) {
    placed++;
    PlacementQuery query =
        new PlacementQuery(work.request, targets, Set.of(), tables.size(), 0, RATES, now());
    Optional<RelayPlacement.Choice> choice = placement.choose(query, table);
    if (choice.isEmpty()) {
      queued++;
      schedule(QUEUE_MILLIS, () -> place(work, table));
      return;
    }
    work.table = table;
    work.sent = table.recordSent(choice.get(), work.request, now());
    engines.get(choice.get().target().id()).add(work);
  }

  /** An engine, which computes prompts in the order in which they came. */
  private final class Engine {

    private final int index;
    private final Set<String> cached = new HashSet<>();
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final Set<Work> held = new HashSet<>();
    private boolean isComputing;

    private Engine(int index) {
      this.index = index;
    }

    private void add(Work work) {
      waiting.add(work);
      held.add(work);
      if (!isComputing) {
        computeNext();
      }
    }

    private void computeNext() {
      Work next = waiting.poll();
      isComputing = next != null;
      if (next != null) {
        boolean isCached = !cached.add(next.context);
        int shared = next.request.sharedParts().get(0).tokens();
        compute(next, next.request.request().promptTokens() - (isCached ? shared : 0));
      }
    }

    private void compute(Work work, int tokens) {
      int chunk = Math.min(CHUNK_TOKENS, tokens);
      double slowness = speed.slowness(index, nowMillis);
      schedule(
          chunk / PREFILL_TOKENS_PER_MILLI * slowness,
          () -> {
            if (tokens > chunk) {
              compute(work, tokens - chunk);
            } else {
              firstToken(work, slowness);
              computeNext();
            }
          });
    }

    private void firstToken(Work work, double slowness) {
      work.firstTokenMillis = nowMillis;
      work.millisPerToken = MILLIS_PER_OUTPUT_TOKEN * slowness;
      if (nowMillis > WARM_UP_MILLIS) {
        waits.add(nowMillis - work.arrivedMillis);
      }
      work.table.recordFirstToken(work.sent, now());
      double tokens = held.stream().mapToDouble(Work::heldTokens).sum();
      mostHeldTokens = Math.max(mostHeldTokens, Math.round(tokens));
      schedule(
          work.outputTokens * work.millisPerToken,
          () -> {
            held.remove(work);
            work.table.recordEnded(work.sent);
          });
    }
  }
}

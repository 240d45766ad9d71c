package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * Entry instances in simulated time that place requests at targets in three data centres, of which
 * {@code dc-2} is evacuated. A request is decided first and sent when its connection is open, which
 * takes long at times; the view may change in between.
 */
final class EvacuatedFleet {

  private static final String EVACUATED = "dc-2";
  private static final List<String> DATA_CENTRES = List.of("dc-1", EVACUATED, "dc-3");
  private static final double BURSTS_PER_SECOND = 60;
  private static final int BURST_SIZE = 3;
  private static final int CONNECT_MILLIS = 4;
  private static final int SLOW_CONNECT_MILLIS = 900;
  private static final double SLOW_CONNECT_SHARE = 0.05;
  private static final int LEAST_RUN_MILLIS = 40;
  private static final int MORE_RUN_MILLIS = 80;

  private final SplittableRandom random;
  private final List<RelayTarget> targets = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Send> sends = new ArrayList<>();
  private double nowMillis;
  private long nextEvent;
  private int nextRequest;
  private int refused;
  private int decidedAgain;

  /** A request that was sent to a target. */
  record Send(double atMillis, int instance, String dataCentre) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  /** One entry instance with its own view. */
  private static final class Instance {

    private final int number;
    private final RelayLoadTable load;
    private final EvacuationExclusion exclusion = EvacuationExclusion.of(this::evacuated);
    private final RelayPlacement placement =
        RelayPlacement.of(PlacementRules.standard("dc-1").with(exclusion));
    private Set<String> evacuated = Set.of();

    Instance(int number) {
      this.number = number;
      this.load = RelayLoadTable.forInstance("entry-" + number);
    }

    private Set<String> evacuated() {
      return evacuated;
    }
  }

  EvacuatedFleet(long seed, int instanceCount, int targetsPerDataCentre) {
    random = new SplittableRandom(seed);
    for (String dataCentre : DATA_CENTRES) {
      for (int i = 0; i < targetsPerDataCentre; i++) {
        targets.add(EvacuationPatternTest.target(dataCentre + "-" + i, dataCentre));
      }
    }
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new Instance(i));
    }
  }

  /** Acknowledges an order; the views of all but some instances change within a delay. */
  void order(boolean isStart, long atMillis, long viewDelayMillis, Set<Integer> outOfContact) {
    for (Instance instance : instances) {
      if (!outOfContact.contains(instance.number)) {
        tellInstance(instance.number, isStart, atMillis + random.nextLong(viewDelayMillis));
      }
    }
  }

  /** Changes the view of one instance. */
  void tellInstance(int number, boolean isStart, long atMillis) {
    Set<String> evacuated = isStart ? Set.of(EVACUATED) : Set.of();
    schedule((double) atMillis, () -> instances.get(number).evacuated = evacuated);
  }

  /** Simulates requests, each of which is created by its number. */
  void run(IntFunction<ResolvedRequest> requests, Duration length) {
    schedule(0, () -> arrive(requests, length));
    while (!events.isEmpty() && events.peek().atMillis() < length.toMillis()) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
  }

  List<Send> sends(long fromMillis, long toMillis) {
    return sends.stream()
        .filter(send -> send.atMillis() > fromMillis && send.atMillis() <= toMillis)
        .toList();
  }

  List<Send> sendsToEvacuated(long fromMillis, long toMillis) {
    return sends(fromMillis, toMillis).stream()
        .filter(send -> send.dataCentre().equals(EVACUATED))
        .toList();
  }

  /** Returns the number of requests for which there was no target. */
  int refused() {
    return refused;
  }

  /** Returns how often the target of a decision was evacuated when the request was to be sent. */
  int decidedAgain() {
    return decidedAgain;
  }

  private void schedule(double atMillis, Runnable action) {
    events.add(new Event(atMillis, nextEvent++, action));
  }

  private Instant instant() {
    return TestRequests.NOW.plusNanos((long) (nowMillis * 1e6));
  }

  private void arrive(IntFunction<ResolvedRequest> requests, Duration length) {
    for (int i = 0; i < BURST_SIZE; i++) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      int number = nextRequest++;
      decide(TestRequests.withRequestId(requests.apply(number), "request-" + number), instance);
    }
    double next = nowMillis - Math.log(1 - random.nextDouble()) * 1000 / BURSTS_PER_SECOND;
    schedule(next, () -> arrive(requests, length));
  }

  private void decide(ResolvedRequest request, Instance instance) {
    PlacementQuery query =
        new PlacementQuery(
            request, targets, Set.of(), instances.size(), 0, TestRequests.RATES, instant());
    Optional<RelayPlacement.Choice> choice = instance.placement.choose(query, instance.load);
    if (choice.isEmpty()) {
      refused++;
      return;
    }
    RelayTarget target = choice.get().target();
    RelayLoadTable.InFlightRequest run =
        instance.load.recordSent(target, request, choice.get().firstTokenMillis());
    boolean isSlow = random.nextDouble() < SLOW_CONNECT_SHARE;
    int connectMillis = 1 + random.nextInt(isSlow ? SLOW_CONNECT_MILLIS : CONNECT_MILLIS);
    schedule(nowMillis + connectMillis, () -> send(request, instance, target, run));
  }

  private void send(
      ResolvedRequest request,
      Instance instance,
      RelayTarget target,
      RelayLoadTable.InFlightRequest run) {
    if (instance.exclusion.isExcluded(target)) {
      decidedAgain++;
      instance.load.recordEnded(run);
      decide(request, instance);
      return;
    }
    sends.add(new Send(nowMillis, instance.number, target.dataCentre()));
    schedule(
        nowMillis + LEAST_RUN_MILLIS + random.nextInt(MORE_RUN_MILLIS),
        () -> instance.load.recordEnded(run));
  }
}

package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Replays plain requests that many entry instances place at three targets, which refuse requests
 * while their slots are occupied. Reports are as old as in production: each instance sends its load
 * every 150 ms and gets the sum that the leader has of the others then.
 */
final class PlainLoadReplay {

  static final int SLOTS = 6;
  private static final int TARGETS = 3;
  private static final int HEARTBEAT_MILLIS = 150;
  private static final int REPORT_DELAY_MILLIS = 20;
  private static final int WAY_MILLIS = 1;

  /** Interval at which a queued request is decided again. */
  private static final int QUEUE_MILLIS = 60;

  private static final int MAX_SENDS = 3;
  private static final int GIVEN_UP_MILLIS = 1000;

  private final RelayPlacement placement;
  private final Load offered;
  private final SplittableRandom random;
  private final List<RelayTarget> targets = new ArrayList<>();
  private final List<RelayLoadTable> tables = new ArrayList<>();
  private final List<List<TargetWork>> reports = new ArrayList<>();
  private final List<List<Waiting>> queues = new ArrayList<>();
  private final int[] running = new int[TARGETS];
  private final List<Deque<Runnable>> held = new ArrayList<>();
  private double mostMillis;
  private double meanMillis;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Double> waits = new ArrayList<>();
  private double nowMillis;
  private long nextEvent;
  private int nextRequest;
  private int sends;
  private int refused;
  private int failed;

  /**
   * The requests that are offered.
   *
   * @param instances entry instances
   * @param millis time that a target takes for a request
   * @param utilisation mean share of the slots that is busy
   * @param swing relative amplitude of the wave of the load
   * @param group requests that arrive at an instance at once
   * @param slowest factor by which the last target is slower
   * @param queue requests that a target holds besides those in its slots before it refuses
   */
  record Load(
      int instances,
      double millis,
      double utilisation,
      double swing,
      int group,
      double slowest,
      int queue) {}

  /**
   * What was seen.
   *
   * @param refusedShare share of the sends that targets refused
   * @param failedShare share of the requests that were refused by all targets or given up
   * @param mostToMean mean load of the target that is most loaded at the time, to that of all
   * @param medianMillis median of the time from arrival to response, less that of the work
   * @param p90Millis 90th percentile of the same
   * @param lateShare share of the requests that failed or took more than 200 ms
   */
  record Result(
      double refusedShare,
      double failedShare,
      double mostToMean,
      double medianMillis,
      double p90Millis,
      double lateShare) {}

  private record Event(double atMillis, long number, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  private record Waiting(ResolvedRequest request, Set<String> tried, double arrivedMillis) {}

  private PlainLoadReplay(PlacementRules rules, boolean isLearning, Load offered, long seed) {
    this.placement = RelayPlacement.of(rules);
    this.offered = offered;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < TARGETS; i++) {
      targets.add(new RelayTarget("target-" + i, 1, "10.0.0.1:80", "dc-1", SLOTS, "", 0));
      held.add(new ArrayDeque<>());
    }
    for (int i = 0; i < offered.instances(); i++) {
      RelayLoadTable table = RelayLoadTable.forInstance("entry-" + i);
      if (isLearning) {
        table.startLearning();
      }
      tables.add(table);
      reports.add(List.of());
      queues.add(new ArrayList<>());
    }
  }

  /** Replays with the rules that count requests. */
  static Result counted(Load offered, int seconds, long seed) {
    return new PlainLoadReplay(PlacementRules.standard("dc-1"), false, offered, seed).run(seconds);
  }

  /** Replays with the rules that learn. */
  static Result learned(Load offered, int seconds, long seed) {
    return new PlainLoadReplay(PlacementRules.learned("dc-1"), true, offered, seed).run(seconds);
  }

  private Result run(int seconds) {
    for (int i = 0; i < tables.size(); i++) {
      int instance = i;
      schedule(random.nextDouble() * HEARTBEAT_MILLIS, () -> report(instance));
    }
    scheduleArrival();
    double lengthMillis = seconds * 1000.0;
    while (!events.isEmpty() && events.peek().atMillis() < lengthMillis) {
      Event next = events.poll();
      countLoad(next.atMillis() - nowMillis);
      nowMillis = next.atMillis();
      next.action().run();
    }
    return result();
  }

  private void countLoad(double millis) {
    int most = 0;
    int sum = 0;
    for (int i = 0; i < TARGETS; i++) {
      int load = running[i] + held.get(i).size();
      most = Math.max(most, load);
      sum += load;
    }
    mostMillis += most * millis;
    meanMillis += (double) sum / TARGETS * millis;
  }

  private Result result() {
    List<Double> sorted = waits.stream().sorted().toList();
    long late = sorted.stream().filter(wait -> wait + offered.millis() > 200).count();
    double ended = sorted.size() + failed;
    return new Result(
        (double) refused / sends,
        failed / ended,
        mostMillis / meanMillis,
        sorted.get(sorted.size() / 2),
        sorted.get((int) (0.9 * sorted.size())),
        (late + failed) / ended);
  }

  private void schedule(double delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextEvent++, action));
  }

  private Instant now() {
    return TestRequests.NOW.plusNanos((long) (nowMillis * 1e6));
  }

  private void report(int instance) {
    List<TargetWork> sent = tables.get(instance).localLoad();
    schedule(
        REPORT_DELAY_MILLIS / 2.0,
        () -> {
          reports.set(instance, sent);
          List<TargetWork> others = sumExcept(instance);
          schedule(
              REPORT_DELAY_MILLIS / 2.0, () -> tables.get(instance).setRemoteLoad(others, now()));
        });
    schedule(HEARTBEAT_MILLIS, () -> report(instance));
  }

  private List<TargetWork> sumExcept(int instance) {
    List<TargetWork> sums = new ArrayList<>();
    for (RelayTarget target : targets) {
      int requests = 0;
      for (int i = 0; i < reports.size(); i++) {
        for (TargetWork work : i == instance ? List.<TargetWork>of() : reports.get(i)) {
          requests += work.target().equals(target.id()) ? work.requests() : 0;
        }
      }
      if (requests > 0) {
        sums.add(TargetWork.of(target.id(), requests, 0, 0));
      }
    }
    return sums;
  }

  private void scheduleArrival() {
    double wave = 1 + offered.swing() * Math.sin(2 * Math.PI * nowMillis / 11_000);
    double perMilli = offered.utilisation() * TARGETS * SLOTS / offered.millis() * wave;
    double gap = -Math.log1p(-random.nextDouble()) * offered.group() / perMilli;
    schedule(
        gap,
        () -> {
          int instance = random.nextInt(tables.size());
          for (int i = 0; i < offered.group(); i++) {
            ResolvedRequest plain = TestRequests.plain("request-" + nextRequest++);
            place(instance, new Waiting(plain, new HashSet<>(), nowMillis));
          }
          scheduleArrival();
        });
  }

  private void place(int instance, Waiting waiting) {
    if (nowMillis - waiting.arrivedMillis() > GIVEN_UP_MILLIS
        || waiting.tried().size() == MAX_SENDS) {
      failed++;
      return;
    }
    PlacementQuery query =
        new PlacementQuery(
            waiting.request(),
            targets,
            waiting.tried(),
            tables.size(),
            0,
            TestRequests.RATES,
            now());
    Optional<RelayPlacement.Choice> choice = placement.choose(query, tables.get(instance));
    if (choice.isPresent()) {
      send(instance, waiting, choice.get().target());
      return;
    }
    queues.get(instance).add(waiting);
    schedule(
        QUEUE_MILLIS,
        () -> {
          if (queues.get(instance).remove(waiting)) {
            place(instance, waiting);
          }
        });
  }

  private void send(int instance, Waiting waiting, RelayTarget target) {
    RelayLoadTable table = tables.get(instance);
    RelayLoadTable.InFlightRequest sent = table.recordSent(target, waiting.request(), 0);
    waiting.tried().add(target.id());
    sends++;
    double sentMillis = nowMillis;
    schedule(WAY_MILLIS, () -> arriveAtTarget(instance, waiting, target, sent, sentMillis));
  }

  private void arriveAtTarget(
      int instance,
      Waiting waiting,
      RelayTarget target,
      RelayLoadTable.InFlightRequest sent,
      double sentMillis) {
    RelayLoadTable table = tables.get(instance);
    int index = targets.indexOf(target);
    Runnable work =
        () -> {
          running[index]++;
          double slowness = index == TARGETS - 1 ? offered.slowest() : 1;
          double millis = offered.millis() * slowness * (0.7 + 0.6 * random.nextDouble());
          schedule(
              millis,
              () -> {
                running[index]--;
                schedule(WAY_MILLIS, () -> ended(instance, waiting, target, sent, sentMillis));
                Optional.ofNullable(held.get(index).poll()).ifPresent(Runnable::run);
              });
        };
    if (running[index] < SLOTS) {
      work.run();
    } else if (held.get(index).size() < offered.queue()) {
      held.get(index).add(work);
    } else {
      refused++;
      schedule(
          WAY_MILLIS,
          () -> {
            table.recordRefusal(target, waiting.request(), now());
            table.recordEnded(sent);
            place(instance, waiting);
          });
    }
  }

  private void ended(
      int instance,
      Waiting waiting,
      RelayTarget target,
      RelayLoadTable.InFlightRequest sent,
      double sentMillis) {
    RelayLoadTable table = tables.get(instance);
    table.recordResponse(target.id(), waiting.request(), nowMillis - sentMillis, now());
    table.recordSuccess(target.id());
    table.recordEnded(sent);
    waits.add(nowMillis - waiting.arrivedMillis() - offered.millis());
    List<Waiting> queued = List.copyOf(queues.get(instance));
    queues.get(instance).clear();
    queued.forEach(next -> place(instance, next));
  }
}

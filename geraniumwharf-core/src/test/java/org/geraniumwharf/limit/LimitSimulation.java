package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * Entries that press on one limited target, and the leader that issues their permits, in simulated
 * time. Heartbeats and their answers are lost or late at random.
 */
final class LimitSimulation {

  static final String TARGET = "target-1";

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(150);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LONGEST_WAIT = Duration.ofMillis(1500);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(60);
  private static final int ANSWER_MILLIS = 100;
  private static final long INCARNATION = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Random random;
  private final double lostHeartbeats;
  private final Queue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::time).thenComparingLong(Task::number));
  private final List<Entry> entries = new ArrayList<>();
  private final List<Instant> arrivals = new ArrayList<>();
  private PermitIssuer leader = PermitIssuer.create();
  private boolean hasLeader = true;
  private RequestLimit limit = RequestLimit.none();
  private Instant now = START;
  private long taskCount;

  private record Task(Instant time, long number, Runnable action) {}

  private LimitSimulation(long seed, double lostHeartbeats) {
    this.random = new Random(seed);
    this.lostHeartbeats = lostHeartbeats;
  }

  /**
   * Creates a fleet.
   *
   * @param lostHeartbeats part of the heartbeats that get no answer, half of them after the leader
   *     has taken them
   */
  static LimitSimulation create(long seed, int entryCount, double lostHeartbeats) {
    LimitSimulation simulation = new LimitSimulation(seed, lostHeartbeats);
    for (int i = 0; i < entryCount; i++) {
      simulation.entries.add(simulation.new Entry("entry-" + i));
    }
    simulation.entries.forEach(Entry::start);
    return simulation;
  }

  // ------------------------------------------------------------------ actions

  /** Lets the target state a limit from now on. */
  void limit(double requestsPerSecond) {
    limit = RequestLimit.of(requestsPerSecond);
  }

  void unlimit() {
    limit = RequestLimit.none();
  }

  /** Lets callers of one entry press at a rate from now on. */
  void press(int entry, double requestsPerSecond) {
    entries.get(entry).press(requestsPerSecond);
  }

  void pressAll(double requestsPerSecond) {
    entries.forEach(entry -> entry.press(requestsPerSecond));
  }

  /** Takes the leader away; the heartbeats of all entries fail. */
  void loseLeader() {
    hasLeader = false;
  }

  /** Lets another leader begin, which knows nothing. */
  void newLeader() {
    leader = PermitIssuer.create();
    hasLeader = true;
  }

  /** Starts one entry again, which has forgotten everything and goes on with its callers. */
  void restart(int entry) {
    entries.get(entry).restart();
  }

  /** Returns the sums of the permits of all entries. */
  TargetPermits.Counts counts() {
    long granted = entries.stream().mapToLong(entry -> entry.permits.counts().granted()).sum();
    long spent = entries.stream().mapToLong(entry -> entry.permits.counts().spent()).sum();
    long expired = entries.stream().mapToLong(entry -> entry.permits.counts().expired()).sum();
    return new TargetPermits.Counts(granted, spent, expired, 0);
  }

  int entryCount() {
    return entries.size();
  }

  /** Runs for some time. */
  void run(Duration time) {
    Instant end = now.plus(time);
    while (!tasks.isEmpty() && !tasks.peek().time().isAfter(end)) {
      Task task = tasks.remove();
      now = task.time();
      task.action().run();
    }
    now = end;
  }

  private void schedule(Duration delay, Runnable action) {
    tasks.add(new Task(now.plus(delay), taskCount++, action));
  }

  private Duration upTo(int millis) {
    return Duration.ofNanos((long) (random.nextDouble() * millis * 1e6));
  }

  // ------------------------------------------------------------------ results

  Instant now() {
    return now;
  }

  /** Returns the arrivals at the target in a span of time. */
  long arrivals(Instant from, Instant to) {
    return arrivals.stream().filter(time -> !time.isBefore(from) && time.isBefore(to)).count();
  }

  /** Returns the most arrivals in four seconds within a span of time. */
  int mostInWindow(Instant from, Instant to) {
    Deque<Instant> window = new ArrayDeque<>();
    int most = 0;
    for (Instant time : arrivals.stream().sorted().toList()) {
      if (!time.isBefore(from) && time.isBefore(to)) {
        window.add(time);
        while (!time.isBefore(window.peek().plusSeconds(4))) {
          window.remove();
        }
        most = Math.max(most, window.size());
      }
    }
    return most;
  }

  // ------------------------------------------------------------------ entries

  private final class Entry {

    private final String name;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private TargetPermits permits;
    private double requestsPerSecond;
    private int generation;
    private int pressing;
    private long requestCount;
    private boolean isCalling;
    private boolean isReportRequested;

    private record Waiting(String id, Instant since) {}

    Entry(String name) {
      this.name = name;
      this.permits = newPermits();
    }

    private TargetPermits newPermits() {
      return TargetPermits.create(name, () -> schedule(Duration.ZERO, this::reportEarly));
    }

    void start() {
      int started = generation;
      schedule(upTo((int) REPORT_INTERVAL.toMillis()), () -> reportPeriodically(started));
      schedule(upTo((int) RETRY_INTERVAL.toMillis()), () -> retryPeriodically(started));
    }

    void restart() {
      generation++;
      queue.clear();
      isCalling = false;
      permits = newPermits();
      start();
    }

    void press(double newRequestsPerSecond) {
      requestsPerSecond = newRequestsPerSecond;
      pressing++;
      scheduleArrival(pressing);
    }

    private void scheduleArrival(int pressed) {
      if (requestsPerSecond > 0) {
        double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        schedule(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND)), () -> arrive(pressed));
      }
    }

    private void arrive(int pressed) {
      if (pressed == pressing) {
        String id = name + "-" + requestCount++;
        if (!queue.isEmpty() || !send()) {
          await(id);
        }
        scheduleArrival(pressed);
      }
    }

    /** Queues a request as the relay does, unless its permit would come too late. */
    private void await(String id) {
      permits.addWaiting(TARGET, INCARNATION, id, now);
      Instant expected = permits.expectedAt(TARGET, INCARNATION, id, now);
      if (expected.isAfter(now.plus(LONGEST_WAIT))) {
        permits.removeWaiting(id);
      } else {
        queue.add(new Waiting(id, now));
      }
    }

    private boolean send() {
      Optional<Permit> permit = permits.take(TARGET, INCARNATION, now);
      if (permit.isEmpty()) {
        return false;
      }
      Instant sentAt = now;
      int sender = generation;
      schedule(
          upTo(5),
          () -> {
            arrivals.add(now);
            RequestLimit stated = limit;
            schedule(upTo(ANSWER_MILLIS), () -> answered(stated, sentAt, sender));
          });
      return true;
    }

    private void answered(RequestLimit stated, Instant sentAt, int sender) {
      if (sender == generation) {
        permits.recordResponse(TARGET, INCARNATION, stated, sentAt, now);
      }
    }

    private void retryPeriodically(int started) {
      if (started == generation) {
        serveQueue();
        schedule(RETRY_INTERVAL, () -> retryPeriodically(started));
      }
    }

    private void serveQueue() {
      while (!queue.isEmpty() && isExpired(queue.peek())) {
        permits.removeWaiting(queue.remove().id());
      }
      while (!queue.isEmpty() && send()) {
        permits.removeWaiting(queue.remove().id());
      }
      queue.forEach(waiting -> permits.addWaiting(TARGET, INCARNATION, waiting.id(), now));
    }

    private boolean isExpired(Waiting waiting) {
      return now.isAfter(waiting.since().plus(LONGEST_WAIT));
    }

    private void reportPeriodically(int started) {
      if (started == generation) {
        report();
        schedule(REPORT_INTERVAL, () -> reportPeriodically(started));
      }
    }

    private void reportEarly() {
      isReportRequested = isCalling;
      report();
    }

    private void report() {
      if (isCalling) {
        return;
      }
      isCalling = true;
      Instant reportedAt = now;
      int caller = generation;
      TargetPermits.Report report = permits.report(now);
      double fate = random.nextDouble();
      if (!hasLeader || fate < lostHeartbeats / 2) {
        schedule(CALL_TIMEOUT, () -> callEnded(caller));
        return;
      }
      schedule(upTo(10), () -> take(report, reportedAt, caller, fate < lostHeartbeats));
    }

    private void take(
        TargetPermits.Report report, Instant reportedAt, int caller, boolean isAnswerLost) {
      leader.recordLimits(report.limits(), now);
      List<PermitGrant> grants = leader.issue(name, report.demands(), now);
      List<LimitReport> known = leader.limits(now);
      TargetPermits.Answer answer = new TargetPermits.Answer(entries.size(), known, grants);
      if (isAnswerLost) {
        schedule(CALL_TIMEOUT, () -> callEnded(caller));
      } else {
        schedule(upTo(isSlow() ? 1200 : 10), () -> received(answer, reportedAt, caller));
      }
    }

    private boolean isSlow() {
      return random.nextDouble() < lostHeartbeats;
    }

    private void received(TargetPermits.Answer answer, Instant reportedAt, int caller) {
      if (caller == generation) {
        permits.applyAnswer(answer, reportedAt, now);
        serveQueue();
        callEnded(caller);
      }
    }

    private void callEnded(int caller) {
      if (caller == generation) {
        isCalling = false;
        if (isReportRequested) {
          isReportRequested = false;
          report();
        }
      }
    }
  }
}

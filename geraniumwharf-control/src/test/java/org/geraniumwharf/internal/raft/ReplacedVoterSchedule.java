package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.geraniumwharf.control.LeaveWait;
import org.geraniumwharf.schema.messages.LeaveOutcome;

/**
 * A voter that is replaced for good, its successor first, while as many others as are tolerated are
 * lost; determined by its seed. The seed draws which instances, when each is lost and how long it
 * takes to start, before, at and after the end of the voter.
 */
final class ReplacedVoterSchedule {

  /** How the process of the replaced voter ends. */
  enum End {
    STOPPED,
    KILLED
  }

  private static final Duration GRACE = Duration.ofSeconds(8);
  private static final Duration CATCH_UP_TIME = Duration.ofSeconds(4);

  /** Time within which the group works again after everything is back. */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

  private static final int MAX_ROUNDS = 2;
  private static final int STEPS_BETWEEN_CHANGES = 10;
  private static final int CALM_STEPS = 800;
  private static final int SETTLING_STEPS = 200;

  private final long seed;
  private final End end;
  private final SplittableRandom random;
  private final SimulatedGroup group;
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::number));
  private final List<String> history = new ArrayList<>();
  private int stepCount;

  private record Step(Instant at, int number, Runnable action) {}

  private ReplacedVoterSchedule(long seed, End end) {
    this.seed = seed;
    this.end = end;
    this.random = new SplittableRandom(seed);
    this.group = new SimulatedGroup(random);
    group.joinRegularly();
  }

  /** Runs a schedule. An assertion that fails reports the seed. */
  static void run(long seed, End end) {
    ReplacedVoterSchedule schedule = new ReplacedVoterSchedule(seed, end);
    try {
      schedule.run();
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError(
          String.format(
              "seed %d: %s; %s; %s",
              schedule.seed, e.getMessage(), schedule.history, schedule.group.replicas()),
          e);
    }
  }

  private void run() {
    group.form();
    int rounds = 1 + random.nextInt(MAX_ROUNDS);
    for (int i = 0; i < rounds; i++) {
      replaceOne();
      while (!steps.isEmpty()) {
        runDueSteps();
        group.runSteps(1);
      }
      checkRecovery();
      group.runSteps(CALM_STEPS);
      group.checkMembers("after a replacement");
    }
    group.network().becomeReliable();
    group.stopPublishing();
    group.runSteps(SETTLING_STEPS);
    group.checkAcknowledged();
  }

  private void runDueSteps() {
    while (!steps.isEmpty() && !steps.peek().at().isAfter(group.now())) {
      steps.poll().action().run();
    }
  }

  private void at(Instant time, Runnable action) {
    steps.add(new Step(time, stepCount++, action));
  }

  /** Draws the order of events of one replacement. */
  private void replaceOne() {
    Instant successorAt = group.now();
    Instant endAt = successorAt.plus(CATCH_UP_TIME).plusMillis(random.nextInt(4000));
    SimulatedReplica removed =
        random.nextBoolean()
            ? group.leader().orElseThrow()
            : group.replicas().get(random.nextInt(group.replicas().size()));
    List<SimulatedReplica> others = new ArrayList<>(group.replicas());
    others.remove(removed);
    SimulatedReplica successor = group.addSuccessor();
    at(successorAt.plus(successorDelay(successorAt, endAt)), () -> start(successor));
    others.add(successor);
    for (int i = 0; i < SimulatedGroup.TOLERATED_LOSSES; i++) {
      SimulatedReplica lost = others.remove(random.nextInt(others.size()));
      Instant lostAt = endAt.plusMillis(random.nextInt(-1500, 2500));
      at(lostAt, () -> lose(lost));
    }
    at(endAt, () -> end(removed));
  }

  /**
   * Draws how long the successor takes to start: less than the time for which it counts as lost or,
   * where the voter is told to stop and waits, up to a moment after that.
   */
  private Duration successorDelay(Instant startedAt, Instant endAt) {
    boolean isLate = end == End.STOPPED && random.nextInt(4) == 0;
    long latest =
        isLate
            ? Duration.between(startedAt, endAt).toMillis() + 1000
            : CATCH_UP_TIME.toMillis() - 1500;
    return Duration.ofMillis(random.nextLong(latest));
  }

  private void lose(SimulatedReplica replica) {
    boolean isDiskLost = random.nextInt(4) > 0;
    note(replica.name() + (isDiskLost ? " loses its disk" : " crashes"));
    if (isDiskLost) {
      replica.loseDisk();
    } else {
      replica.crash();
    }
    at(group.now().plusMillis(random.nextInt(200, 5000)), () -> start(replica));
  }

  private void start(SimulatedReplica replica) {
    if (!replica.isUp()) {
      note(replica.name() + " starts");
      replica.start(group.now());
    }
  }

  private void end(SimulatedReplica replica) {
    if (end == End.KILLED) {
      remove(replica);
      return;
    }
    note(replica.name() + " is told to stop");
    group.stopJoining(replica);
    leave(replica, LeaveWait.startingAt(group.now(), GRACE));
  }

  /** Asks the leader as a process does that is told to stop, until it may end. */
  private void leave(SimulatedReplica replica, LeaveWait before) {
    Optional<LeaveOutcome> outcome =
        group.leader().flatMap(leader -> leader.leave(replica.name(), group.now()));
    LeaveWait wait = before.after(outcome, group.now());
    if (wait.isOver(group.now())) {
      replica.transferLeadership(group.now());
      remove(replica);
    } else {
      at(group.now().plusMillis(random.nextInt(30, 100)), () -> leave(replica, wait));
    }
  }

  private void remove(SimulatedReplica replica) {
    note(replica.name() + " is gone");
    replica.crash();
    group.remove(replica);
  }

  /** Fails unless a change that was sent after the last event is acknowledged in time. */
  private void checkRecovery() {
    long before = group.newestAcknowledged();
    Instant deadline = group.now().plus(RECOVERY_TIME);
    while (group.newestAcknowledged() == before) {
      if (group.now().isAfter(deadline)) {
        throw new AssertionError("no change is acknowledged within " + RECOVERY_TIME);
      }
      group.leader().ifPresent(group::publish);
      group.runSteps(STEPS_BETWEEN_CHANGES);
    }
  }

  private void note(String event) {
    history.add(group.now().toEpochMilli() + " " + event);
  }
}

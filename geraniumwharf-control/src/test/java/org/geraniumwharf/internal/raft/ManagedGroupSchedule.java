package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A schedule of faults in a group that starts with three members, adds others and replaces
 * unresponsive ones, determined by its seed. At most two instances are lost at a time, but all
 * processes may be killed together.
 */
final class ManagedGroupSchedule {

  private static final Duration CATCH_UP_TIME = Duration.ofSeconds(4);
  private static final int FAULTY_STEPS = 3000;
  private static final int HEALING_STEPS = 3000;

  /** Number of steps within which the last acknowledged change reaches every replica. */
  private static final int SETTLING_STEPS = 200;

  private final long seed;
  private final SplittableRandom random;
  private final SimulatedGroup group;
  private final Map<String, Instant> unavailableUntil = new HashMap<>();

  private ManagedGroupSchedule(long seed) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.group = new SimulatedGroup(random);
  }

  /** Runs a schedule. An assertion that fails reports the seed. */
  static void run(long seed) {
    ManagedGroupSchedule schedule = new ManagedGroupSchedule(seed);
    try {
      schedule.run();
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError(
          "seed " + schedule.seed + ": " + e.getMessage() + "; " + schedule.group.replicas(), e);
    }
  }

  private void run() {
    group.form();
    for (int i = 0; i < FAULTY_STEPS; i++) {
      if (random.nextInt(60) == 0) {
        injectFault();
      }
      group.runSteps(1);
    }
    group.network().becomeReliable();
    for (SimulatedReplica replica : group.replicas()) {
      replica.clearFaults();
      if (!replica.isUp()) {
        replica.start(group.now());
      }
    }
    group.runSteps(HEALING_STEPS);
    group.stopPublishing();
    group.runSteps(SETTLING_STEPS);
    group.checkMembers("after all faults ended");
    group.checkAcknowledged();
  }

  private void injectFault() {
    switch (random.nextInt(8)) {
      case 0 -> killAll();
      case 1, 2 -> injectLoss(SimulatedReplica::crash);
      case 3 -> injectLoss(SimulatedReplica::loseDisk);
      case 4 -> injectLoss(SimulatedReplica::crashAtNextWrite);
      case 5 -> replaceInstance();
      case 6 -> isolate();
      default -> recover();
    }
  }

  /**
   * Kills and restarts every running process. Each counts as lost until {@link #CATCH_UP_TIME} has
   * passed. Disks are kept, and instances that were already down stay down.
   */
  private void killAll() {
    for (SimulatedReplica replica : group.replicas()) {
      if (replica.isUp()) {
        replica.crash();
        replica.start(group.now());
        unavailableUntil.merge(
            replica.name(), group.now().plus(CATCH_UP_TIME), ManagedGroupSchedule::later);
      }
    }
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private void injectLoss(Consumer<SimulatedReplica> fault) {
    SimulatedReplica replica = group.replicas().get(random.nextInt(group.replicas().size()));
    if (canLose(replica)) {
      unavailableUntil.put(replica.name(), Instant.MAX);
      fault.accept(replica);
    }
  }

  private boolean canLose(SimulatedReplica replica) {
    long lost = unavailableUntil.values().stream().filter(group.now()::isBefore).count();
    return lost < SimulatedGroup.TOLERATED_LOSSES
        && !unavailableUntil.getOrDefault(replica.name(), group.now()).isAfter(group.now());
  }

  private void replaceInstance() {
    SimulatedReplica replica = group.replicas().get(random.nextInt(group.replicas().size()));
    if (canLose(replica)) {
      replica.crash();
      group.remove(replica);
      unavailableUntil.remove(replica.name());
      SimulatedReplica successor = group.addSuccessor();
      successor.start(group.now());
      unavailableUntil.put(successor.name(), group.now().plus(CATCH_UP_TIME));
    }
  }

  private void isolate() {
    SimulatedReplica replica = group.replicas().get(random.nextInt(group.replicas().size()));
    if (canLose(replica)) {
      unavailableUntil.put(replica.name(), Instant.MAX);
      for (SimulatedReplica other : group.replicas()) {
        group.network().block(other.name(), replica.name());
        group.network().block(replica.name(), other.name());
      }
    }
  }

  private void recover() {
    group.network().heal();
    for (SimulatedReplica replica : group.replicas()) {
      if (unavailableUntil.getOrDefault(replica.name(), group.now()).equals(Instant.MAX)) {
        replica.clearFaults();
        if (!replica.isUp()) {
          replica.start(group.now());
        }
        unavailableUntil.put(replica.name(), group.now().plus(CATCH_UP_TIME));
      }
    }
  }
}

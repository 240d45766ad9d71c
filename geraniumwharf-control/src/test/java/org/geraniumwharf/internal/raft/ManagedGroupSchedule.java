package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PublishCommand;

/**
 * A schedule of faults in a group that starts with three members, adds others and replaces
 * unresponsive ones, determined by its seed. At most two instances are lost at a time, but all
 * processes may be killed together.
 */
final class ManagedGroupSchedule {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration STEP_DURATION = Duration.ofMillis(10);
  private static final Duration CATCH_UP_TIME = Duration.ofSeconds(4);
  private static final int TOLERATED_LOSSES = 2;
  private static final int GROUP_SIZE = 2 * TOLERATED_LOSSES + 1;
  private static final int FORMING_STEPS = 800;
  private static final int FAULTY_STEPS = 3000;
  private static final int HEALING_STEPS = 3000;

  /** Number of steps within which the last acknowledged change reaches every replica. */
  private static final int SETTLING_STEPS = 200;

  private static final int MEAN_STEPS_BETWEEN_JOINS = 40;
  private static final MembershipPolicy POLICY =
      MembershipPolicy.toleratingLosses(TOLERATED_LOSSES);

  private final long seed;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final SafetyChecker checker = new SafetyChecker();
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final Map<String, Instant> unavailableUntil = new HashMap<>();
  private long newestAcknowledged;
  private long nextVersion = 1;
  private int nextName;
  private boolean isPublishing = true;
  private Instant now = START;

  private ManagedGroupSchedule(long seed) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.network = new SimulatedNetwork(random.split());
    List<String> founders = List.of("instance-0", "instance-1", "instance-2");
    for (int i = 0; i < GROUP_SIZE; i++) {
      boolean isFounder = i < founders.size();
      add(Membership.of(isFounder ? founders : List.of(), List.of()), !isFounder);
    }
  }

  private SimulatedReplica add(Membership initial, boolean isJoining) {
    String name = "instance-" + nextName;
    nextName++;
    SimulatedReplica replica =
        new SimulatedReplica(name, initial, random.split(), network, checker, POLICY);
    if (isJoining) {
      replica.loseDisk();
    }
    replica.start(now);
    replicas.add(replica);
    return replica;
  }

  /** Runs a schedule. An assertion that fails reports the seed. */
  static void run(long seed) {
    ManagedGroupSchedule schedule = new ManagedGroupSchedule(seed);
    try {
      schedule.run();
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError(
          "seed " + schedule.seed + ": " + e.getMessage() + "; " + schedule.replicas, e);
    }
  }

  private void run() {
    runSteps(FORMING_STEPS);
    checkMembers("after forming");
    for (int i = 0; i < FAULTY_STEPS; i++) {
      if (random.nextInt(60) == 0) {
        injectFault();
      }
      runSteps(1);
    }
    network.becomeReliable();
    for (SimulatedReplica replica : replicas) {
      replica.clearFaults();
      if (!replica.isUp()) {
        replica.start(now);
      }
    }
    runSteps(HEALING_STEPS);
    isPublishing = false;
    runSteps(SETTLING_STEPS);
    checkMembers("after all faults ended");
    checkAcknowledged();
  }

  private void runSteps(int count) {
    for (int i = 0; i < count; i++) {
      now = now.plus(STEP_DURATION);
      for (SimulatedNetwork.Delivery delivery : network.due(now)) {
        find(delivery.to()).ifPresent(replica -> replica.receive(delivery.message(), now));
      }
      replicas.forEach(replica -> replica.tick(now));
      if (random.nextInt(MEAN_STEPS_BETWEEN_JOINS) == 0) {
        join();
        if (isPublishing) {
          publish();
        }
      }
    }
  }

  private Optional<SimulatedReplica> find(String name) {
    return replicas.stream().filter(replica -> replica.name().equals(name)).findFirst();
  }

  /** Requests membership from the leader for each instance that is not in a working group. */
  private void join() {
    Optional<SimulatedReplica> leader =
        replicas.stream().filter(SimulatedReplica::isLeader).findAny();
    for (SimulatedReplica replica : replicas) {
      if (replica.isUp() && !replica.isJoined(now)) {
        leader.ifPresent(current -> current.changeMembership(replica.name(), true, now));
      }
    }
  }

  private void publish() {
    long version = nextVersion;
    nextVersion++;
    SimulatedReplica receiver = replicas.get(random.nextInt(replicas.size()));
    receiver.propose(
        PublishCommand.of(
            "publish-" + version,
            "operator",
            receiver.state().configuration().version(),
            "digest-" + version,
            List.of(Service.of("service-" + version, 1)),
            List.of(),
            now.toEpochMilli(),
            Optional.of(version),
            Optional.empty()),
        answer -> recordAnswer(version, answer),
        now);
  }

  private void recordAnswer(long version, ControlAnswer answer) {
    if (answer instanceof PublishAnswer published
        && published.outcome() == PublishOutcome.ACCEPTED) {
      newestAcknowledged = Math.max(newestAcknowledged, version);
    }
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
    for (SimulatedReplica replica : replicas) {
      if (replica.isUp()) {
        replica.crash();
        replica.start(now);
        unavailableUntil.merge(
            replica.name(), now.plus(CATCH_UP_TIME), ManagedGroupSchedule::later);
      }
    }
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private void injectLoss(Consumer<SimulatedReplica> fault) {
    SimulatedReplica replica = replicas.get(random.nextInt(replicas.size()));
    if (canLose(replica)) {
      unavailableUntil.put(replica.name(), Instant.MAX);
      fault.accept(replica);
    }
  }

  private boolean canLose(SimulatedReplica replica) {
    long lost = unavailableUntil.values().stream().filter(now::isBefore).count();
    return lost < TOLERATED_LOSSES
        && !unavailableUntil.getOrDefault(replica.name(), now).isAfter(now);
  }

  private void replaceInstance() {
    SimulatedReplica replica = replicas.get(random.nextInt(replicas.size()));
    if (canLose(replica)) {
      replica.crash();
      replicas.remove(replica);
      unavailableUntil.remove(replica.name());
      SimulatedReplica successor = add(Membership.of(List.of(), List.of()), true);
      unavailableUntil.put(successor.name(), now.plus(CATCH_UP_TIME));
    }
  }

  private void isolate() {
    SimulatedReplica replica = replicas.get(random.nextInt(replicas.size()));
    if (canLose(replica)) {
      unavailableUntil.put(replica.name(), Instant.MAX);
      for (SimulatedReplica other : replicas) {
        network.block(other.name(), replica.name());
        network.block(replica.name(), other.name());
      }
    }
  }

  private void recover() {
    network.heal();
    for (SimulatedReplica replica : replicas) {
      if (unavailableUntil.getOrDefault(replica.name(), now).equals(Instant.MAX)) {
        replica.clearFaults();
        if (!replica.isUp()) {
          replica.start(now);
        }
        unavailableUntil.put(replica.name(), now.plus(CATCH_UP_TIME));
      }
    }
  }

  private void checkMembers(String when) {
    SimulatedReplica leader =
        replicas.stream()
            .filter(SimulatedReplica::isLeader)
            .findFirst()
            .orElseThrow(() -> new AssertionError("no leader " + when));
    List<String> names = replicas.stream().map(SimulatedReplica::name).sorted().toList();
    List<String> voters = leader.core().membership().voters().stream().sorted().toList();
    if (!voters.equals(names)) {
      throw new AssertionError("voters " + voters + " " + when);
    }
  }

  private void checkAcknowledged() {
    if (newestAcknowledged == 0) {
      throw new AssertionError("nothing was acknowledged");
    }
    for (SimulatedReplica replica : replicas) {
      if (replica.state().configuration().version() < newestAcknowledged) {
        throw new AssertionError(replica.name() + " lost version " + newestAcknowledged);
      }
    }
  }
}

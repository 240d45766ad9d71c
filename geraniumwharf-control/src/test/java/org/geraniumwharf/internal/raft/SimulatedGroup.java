package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PublishCommand;

/**
 * A group that starts with three members, adds two others and replaces unresponsive ones. Instances
 * outside of it ask to be added, and changes are published all the time.
 */
final class SimulatedGroup {

  static final Duration STEP_DURATION = Duration.ofMillis(10);
  static final int TOLERATED_LOSSES = 2;

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final int SIZE = 2 * TOLERATED_LOSSES + 1;
  private static final int FORMING_STEPS = 800;
  private static final int MEAN_STEPS_BETWEEN_JOINS = 40;

  /** A process asks 400 ms after its last call has ended, which may take 1.5 s. */
  private static final int MAX_STEPS_BETWEEN_JOINS = 190;

  private static final MembershipPolicy POLICY =
      MembershipPolicy.toleratingLosses(TOLERATED_LOSSES);

  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final SafetyChecker checker = new SafetyChecker();
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final List<String> leaving = new ArrayList<>();
  private long newestAcknowledged;
  private long nextVersion = 1;
  private int nextName;
  private boolean isPublishing = true;
  private boolean isJoiningRegularly;
  private int stepsWithoutJoin;
  private Instant now = START;

  SimulatedGroup(SplittableRandom random) {
    this.random = random;
    this.network = new SimulatedNetwork(random.split());
    List<String> founders = List.of("instance-0", "instance-1", "instance-2");
    for (int i = 0; i < SIZE; i++) {
      boolean isFounder = i < founders.size();
      SimulatedReplica replica =
          create(Membership.of(isFounder ? founders : List.of(), List.of()), !isFounder);
      replica.start(now);
    }
  }

  /** Adds an instance with an empty disk, which is down at first. */
  SimulatedReplica addSuccessor() {
    return create(Membership.of(List.of(), List.of()), true);
  }

  private SimulatedReplica create(Membership initial, boolean isJoining) {
    String name = "instance-" + nextName;
    nextName++;
    SimulatedReplica replica =
        new SimulatedReplica(name, initial, random.split(), network, checker, POLICY);
    if (isJoining) {
      replica.loseDisk();
    }
    replicas.add(replica);
    return replica;
  }

  void form() {
    runSteps(FORMING_STEPS);
    checkMembers("after forming");
  }

  void runSteps(int count) {
    for (int i = 0; i < count; i++) {
      now = now.plus(STEP_DURATION);
      for (SimulatedNetwork.Delivery delivery : network.due(now)) {
        find(delivery.to()).ifPresent(replica -> replica.receive(delivery.message(), now));
      }
      replicas.forEach(replica -> replica.tick(now));
      boolean isDrawn = random.nextInt(MEAN_STEPS_BETWEEN_JOINS) == 0;
      stepsWithoutJoin++;
      if (isDrawn || (isJoiningRegularly && stepsWithoutJoin >= MAX_STEPS_BETWEEN_JOINS)) {
        stepsWithoutJoin = 0;
        join();
      }
      if (isDrawn && isPublishing) {
        publish(replicas.get(random.nextInt(replicas.size())));
      }
    }
  }

  private Optional<SimulatedReplica> find(String name) {
    return replicas.stream().filter(replica -> replica.name().equals(name)).findFirst();
  }

  /** Lets instances ask for membership as often as their processes do, besides the drawn times. */
  void joinRegularly() {
    isJoiningRegularly = true;
  }

  /** Requests membership from the leader for each instance that is not in a working group. */
  private void join() {
    Optional<SimulatedReplica> leader = leader();
    for (SimulatedReplica replica : replicas) {
      if (replica.isUp() && !replica.isJoined(now) && !leaving.contains(replica.name())) {
        leader.ifPresent(current -> current.changeMembership(replica.name(), true, now));
      }
    }
  }

  /** Sends a change to an instance, which takes it if it leads. */
  void publish(SimulatedReplica receiver) {
    long version = nextVersion;
    nextVersion++;
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

  void stopPublishing() {
    isPublishing = false;
  }

  /** Lets an instance that was told to stop ask for membership no more. */
  void stopJoining(SimulatedReplica replica) {
    leaving.add(replica.name());
  }

  /** Removes an instance for good; its process must have ended. */
  void remove(SimulatedReplica replica) {
    replicas.remove(replica);
  }

  Instant now() {
    return now;
  }

  SimulatedNetwork network() {
    return network;
  }

  List<SimulatedReplica> replicas() {
    return replicas;
  }

  Optional<SimulatedReplica> leader() {
    return replicas.stream().filter(SimulatedReplica::isLeader).findAny();
  }

  /** Returns the newest version whose publication was acknowledged. */
  long newestAcknowledged() {
    return newestAcknowledged;
  }

  /** Fails unless every instance is a voter, and nothing else is. */
  void checkMembers(String when) {
    SimulatedReplica leader = leader().orElseThrow(() -> new AssertionError("no leader " + when));
    List<String> names = replicas.stream().map(SimulatedReplica::name).sorted().toList();
    List<String> voters = leader.core().membership().voters().stream().sorted().toList();
    if (!voters.equals(names)) {
      throw new AssertionError("voters " + voters + " " + when);
    }
  }

  /** Fails unless every instance holds the newest acknowledged change. */
  void checkAcknowledged() {
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

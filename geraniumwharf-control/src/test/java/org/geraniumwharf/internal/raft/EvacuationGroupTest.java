package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuationOutcome;
import org.geraniumwharf.schema.state.EvacuateCommand;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PruneCommand;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders to evacuate a data centre in a group of five whose replicas and links fail. */
class EvacuationGroupTest {

  private static final String DATA_CENTRE = "dc-1";
  private static final Duration STEP = Duration.ofMillis(5);
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final List<String> NAMES = List.of("c-1", "c-2", "c-3", "c-4", "c-5");

  /** Above the number of entries between two snapshots of a simulated replica. */
  private static final int ENTRIES_UNTIL_SNAPSHOT = 30;

  private final SplittableRandom random = new SplittableRandom(7);
  private final SimulatedNetwork network = new SimulatedNetwork(random.split());
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private Instant now = Instant.ofEpochSecond(1_000_000);

  @BeforeEach
  void startGroup() {
    network.becomeReliable();
    SafetyChecker checker = new SafetyChecker();
    for (String name : NAMES) {
      replicas.add(
          new SimulatedReplica(
              name, Membership.of(NAMES, List.of()), random.split(), network, checker));
    }
    replicas.forEach(replica -> replica.start(now));
    awaitLeader();
  }

  @Test
  void should_accept_the_repeat_after_the_leader_was_lost_between_commit_and_answer() {
    SimulatedReplica lost = leader().orElseThrow();
    long received = lost.state().index();
    AtomicReference<EvacuateAnswer> unseen = propose(lost, true, received);
    await(() -> unseen.get() != null);
    lost.crash();
    awaitLeader();

    EvacuateAnswer answer = order(true, received);

    assertEquals(unseen.get(), answer);
    assertEquals(EvacuationOutcome.ACCEPTED, answer.outcome());
  }

  @Test
  void should_keep_an_acknowledged_start_when_two_disks_are_lost_right_after() {
    SimulatedReplica leader = leader().orElseThrow();
    assertEquals(EvacuationOutcome.ACCEPTED, order(true, leader.state().index()).outcome());
    leader.loseDisk();
    replicas.stream().filter(SimulatedReplica::isUp).findFirst().orElseThrow().loseDisk();
    awaitLeader();

    assertTrue(isEvacuated(leader().orElseThrow()));
  }

  @Test
  void should_keep_an_acknowledged_start_in_the_log_when_all_lose_power_right_after() {
    order(true, leader().orElseThrow().state().index());

    restartAll();

    assertTrue(isEvacuated(leader().orElseThrow()));
  }

  @Test
  void should_keep_an_acknowledged_start_in_the_snapshot_when_all_lose_power() {
    order(true, leader().orElseThrow().state().index());
    for (int i = 0; i < ENTRIES_UNTIL_SNAPSHOT; i++) {
      leader().orElseThrow().propose(PruneCommand.of(0, 0, 1), answer -> {}, now);
      run(Duration.ofMillis(50));
    }

    restartAll();

    assertTrue(isEvacuated(leader().orElseThrow()));
  }

  /** A leader that is cut off appends a start, which the others never commit. */
  @Test
  void should_not_apply_the_start_of_a_leader_that_was_cut_off_after_the_end() {
    SimulatedReplica cutOff = leader().orElseThrow();
    cutOff(cutOff);
    AtomicReference<EvacuateAnswer> lateAnswer = propose(cutOff, true, cutOff.state().index());
    await(() -> leaders().stream().anyMatch(replica -> replica != cutOff));
    run(Duration.ofMillis(500));
    SimulatedReplica next =
        leaders().stream().filter(replica -> replica != cutOff).findAny().orElseThrow();
    AtomicReference<EvacuateAnswer> end = propose(next, false, next.state().index());
    await(() -> end.get() != null);

    network.heal();
    run(Duration.ofSeconds(3));

    assertEquals(EvacuationOutcome.ACCEPTED, end.get().outcome());
    assertEquals(null, lateAnswer.get());
    assertTrue(replicas.stream().noneMatch(EvacuationGroupTest::isEvacuated));
  }

  private void cutOff(SimulatedReplica replica) {
    for (String other : NAMES) {
      if (!other.equals(replica.name())) {
        network.block(replica.name(), other);
        network.block(other, replica.name());
      }
    }
  }

  private void restartAll() {
    replicas.forEach(SimulatedReplica::crash);
    run(Duration.ofSeconds(1));
    replicas.forEach(replica -> replica.start(now));
    awaitLeader();
  }

  private EvacuateAnswer order(boolean active, long receivedIndex) {
    AtomicReference<EvacuateAnswer> answer = propose(leader().orElseThrow(), active, receivedIndex);
    await(() -> answer.get() != null);
    return answer.get();
  }

  private AtomicReference<EvacuateAnswer> propose(
      SimulatedReplica leader, boolean active, long receivedIndex) {
    AtomicReference<EvacuateAnswer> answer = new AtomicReference<>();
    leader.propose(
        EvacuateCommand.of(DATA_CENTRE, active, receivedIndex, now.toEpochMilli()),
        given -> answer.set((EvacuateAnswer) given),
        now);
    return answer;
  }

  private static boolean isEvacuated(SimulatedReplica replica) {
    return replica.state().evacuations().stream().anyMatch(Evacuation::active);
  }

  private List<SimulatedReplica> leaders() {
    return replicas.stream().filter(SimulatedReplica::isLeader).toList();
  }

  private Optional<SimulatedReplica> leader() {
    return leaders().stream().findFirst();
  }

  private void awaitLeader() {
    await(() -> leader().isPresent());
    run(Duration.ofMillis(500));
  }

  private void await(BooleanSupplier condition) {
    Instant end = now.plus(LIMIT);
    while (!condition.getAsBoolean()) {
      assertTrue(now.isBefore(end), "nothing happened in " + LIMIT + ": " + replicas);
      step();
    }
  }

  private void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      step();
    }
  }

  private void step() {
    now = now.plus(STEP);
    for (SimulatedNetwork.Delivery delivery : network.due(now)) {
      replicas.stream()
          .filter(replica -> replica.name().equals(delivery.to()))
          .forEach(replica -> replica.receive(delivery.message(), now));
    }
    replicas.forEach(replica -> replica.tick(now));
  }
}

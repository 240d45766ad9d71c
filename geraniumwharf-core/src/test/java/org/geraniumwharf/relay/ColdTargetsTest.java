package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.objects.RelayService;
import org.junit.jupiter.api.Test;

/** Guards against more requests to a cold target than it accepts, summed over all instances. */
class ColdTargetsTest {

  private static final double RATE = 9.9;
  private static final int BOUND = (int) (RATE * 1.5 + 5);
  private static final RelayService SERVICE = ColdFleet.service(RATE);
  private static final RelayTarget TARGET = TestRequests.target("engine-7");
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final Duration RANKED = EntryRanks.NEW_LEADER_WAIT.plusSeconds(1);
  private static final Instant NOW = TestRequests.NOW;

  private final ColdFleet fleet = new ColdFleet(1);

  private void startRanked(ColdFleet started, int instances) {
    started.start(instances);
    started.elect();
    started.run(RANKED, () -> {});
    started.makeCold(TARGET.id(), LONG);
  }

  private static void sendWhatIsAllowed(ColdFleet sending, RelayService service) {
    for (ColdFleet.Entry entry : sending.entries()) {
      while (entry.trySend(TARGET, service)) {
        // Takes all allowances at once, the worst case.
      }
    }
  }

  @Test
  void should_use_the_rate_without_exceeding_it_while_instances_stay_the_same() {
    startRanked(fleet, 84);

    fleet.run(Duration.ofSeconds(10), () -> sendWhatIsAllowed(fleet, SERVICE));

    assertEquals(9, fleet.mostInOneSecond(0));
    assertTrue(fleet.sendsTo(TARGET.id(), 0) >= 80, "sent " + fleet.sendsTo(TARGET.id(), 0));
  }

  @Test
  void should_give_each_instance_more_when_there_are_few() {
    startRanked(fleet, 3);

    fleet.run(Duration.ofSeconds(10), () -> sendWhatIsAllowed(fleet, SERVICE));

    assertEquals(9, fleet.mostInOneSecond(0));
    assertTrue(fleet.sendsTo(TARGET.id(), 0) >= 80, "sent " + fleet.sendsTo(TARGET.id(), 0));
  }

  // Guards against instances that hold rankings of different age while others come and go.
  @Test
  void should_stay_within_the_bound_while_instances_come_and_go() {
    for (int instances : List.of(2, 5, 12, 84)) {
      for (int seed = 0; seed < 8; seed++) {
        assertTrue(mostWhileInstancesChange(instances, seed) <= BOUND);
      }
    }
  }

  // Guards against two rankings whose sum exceeds a bound that is less than twice the rate.
  @Test
  void should_stay_within_the_bound_with_the_shares_of_any_two_rankings() {
    for (double rate : List.of(0.2, 1.0, 2.5, 9.9, 20.0, 60.0, 250.0)) {
      for (ColdBounds bounds : List.of(ColdFleet.BOUNDS, new ColdBounds(1, 0))) {
        double bound = rate * bounds.overage() + bounds.slack();
        for (int instances = 1; instances <= 90; instances++) {
          assertTrue(2 * sumOfShares(instances, bounds.divided(rate)) <= bound);
        }
      }
    }
  }

  @Test
  void should_divide_the_whole_rate_among_many_instances() {
    for (int instances = 9; instances <= 90; instances++) {
      assertEquals(9, sumOfShares(instances, ColdFleet.BOUNDS.divided(RATE)));
    }
  }

  private static int sumOfShares(int instances, int divided) {
    return IntStream.range(0, instances)
        .map(rank -> ColdShare.of(EntryRank.of(rank, instances), TARGET.hash(), divided))
        .sum();
  }

  private int mostWhileInstancesChange(int instances, int seed) {
    ColdFleet changing = new ColdFleet(seed);
    startRanked(changing, instances);
    changing.loseHeartbeats(0.6);
    changing.run(
        Duration.ofSeconds(30),
        () -> {
          if (changing.nowMillis() % 200 == 0) {
            List<ColdFleet.Entry> entries = changing.entries();
            changing.stop(entries.get(changing.random().nextInt(entries.size())).name());
            changing.start("entry-" + changing.random().nextInt(2 * instances));
          }
          sendWhatIsAllowed(changing, SERVICE);
        });
    return changing.mostInOneSecond(0);
  }

  // Guards against an instance that sends again what its earlier process has just sent.
  @Test
  void should_count_what_the_process_before_a_restart_may_have_sent() {
    startRanked(fleet, 12);

    fleet.run(
        Duration.ofSeconds(10),
        () -> {
          if (fleet.nowMillis() % 300 == 0) {
            fleet.start("entry-" + fleet.nowMillis() / 300 % 12);
          }
          sendWhatIsAllowed(fleet, SERVICE);
        });

    assertTrue(fleet.mostInOneSecond(0) <= 9, "sent " + fleet.mostInOneSecond(0));
  }

  // Guards against a leader that goes on ranking after another one has begun to.
  @Test
  void should_stay_within_the_bound_while_two_leaders_answer() {
    fleet.start(84);
    ColdFleet.Leader earlier = fleet.elect();
    fleet.run(RANKED, () -> {});
    fleet.makeCold(TARGET.id(), LONG);
    earlier.cutOff();
    fleet.run(Duration.ofMillis(100), () -> sendWhatIsAllowed(fleet, SERVICE));
    fleet.elect();
    for (int i = 0; i < 84; i += 2) {
      fleet.entries().get(i).ask(earlier);
    }
    IntStream.range(0, 40).forEach(i -> fleet.stop("entry-" + i));
    IntStream.range(100, 140).forEach(i -> fleet.start("entry-" + i));

    fleet.run(Duration.ofSeconds(15), () -> sendWhatIsAllowed(fleet, SERVICE));

    assertTrue(fleet.mostInOneSecond(0) <= BOUND, "sent " + fleet.mostInOneSecond(0));
    assertTrue(fleet.sendsTo(TARGET.id(), fleet.nowMillis() - 5000) > 0);
  }

  @Test
  void should_send_nothing_to_a_cold_target_two_seconds_after_the_leader_was_lost() {
    startRanked(fleet, 84);
    fleet.loseLeader();
    long lostAt = fleet.nowMillis();

    fleet.run(Duration.ofSeconds(8), () -> sendWhatIsAllowed(fleet, SERVICE));

    assertTrue(fleet.sendsTo(TARGET.id(), lostAt) > 0);
    assertEquals(0, fleet.sendsTo(TARGET.id(), lostAt + 2000));
  }

  @Test
  void should_send_nothing_to_a_cold_target_without_a_recent_rank() {
    ColdTargets cold = coldTargets();

    assertFalse(cold.trySend(TARGET, SERVICE, NOW));
    cold.recordRank(Optional.of(EntryRank.of(0, 1)), NOW);
    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusMillis(1999)));
    assertFalse(cold.trySend(TARGET, SERVICE, NOW.plusMillis(2000)));
    assertEquals(
        Optional.of(NOW.plusSeconds(3)),
        cold.exclusion(TARGET, SERVICE, NOW.plusMillis(2000)).orElseThrow().until());
  }

  @Test
  void should_exclude_a_target_until_the_next_allowance_or_the_end_of_its_time() {
    ColdTargets cold = ranked(coldTargets(), 9);

    assertTrue(cold.exclusion(TARGET, SERVICE, NOW).isEmpty());
    assertTrue(cold.trySend(TARGET, SERVICE, NOW));
    assertEquals(
        Exclusion.until(Exclusion.Reason.COLD, NOW.plusMillis(1050)),
        cold.exclusion(TARGET, SERVICE, NOW.plusMillis(200)));
    assertFalse(cold.trySend(TARGET, SERVICE, NOW.plusMillis(200)));
    assertEquals(new ColdTargets.Counts(1, 1), cold.counts());
    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusMillis(1050)));
    cold.recordRank(Optional.of(EntryRank.of(0, 9)), NOW.plusMillis(1500));
    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusMillis(2100)));
    assertEquals(
        Exclusion.until(Exclusion.Reason.COLD, NOW.plusSeconds(3)),
        cold.exclusion(TARGET, SERVICE, NOW.plusMillis(2200)));
    assertTrue(cold.exclusion(TARGET, SERVICE, NOW.plusSeconds(3)).isEmpty());
    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusSeconds(3)));
  }

  @Test
  void should_not_count_a_request_that_was_meant_for_another_target() {
    ColdTargets cold = ranked(coldTargets(), 9);

    assertTrue(cold.trySend(TARGET, SERVICE, NOW));
    cold.withdraw(TARGET, NOW);

    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusMillis(1)));
    assertFalse(cold.trySend(TARGET, SERVICE, NOW.plusMillis(2)));
  }

  @Test
  void should_exclude_a_target_that_becomes_cold_again() {
    ColdTargets cold = ranked(coldTargets(), 9);
    Instant again = NOW.plusSeconds(20);
    assertTrue(cold.trySend(TARGET, SERVICE, again));

    cold.replaceAnnounced(Map.of(TARGET.id(), new ColdEnd(1, again.plusSeconds(3))));

    assertFalse(cold.trySend(TARGET, SERVICE, again));
    cold.recordRank(Optional.of(EntryRank.of(0, 9)), again);
    assertTrue(cold.trySend(TARGET, SERVICE, again));
    assertFalse(cold.trySend(TARGET, SERVICE, again.plusMillis(500)));
  }

  @Test
  void should_take_a_target_to_be_cold_that_states_it_in_a_response() {
    ColdTargets cold = ColdTargets.within(Optional.of(ColdFleet.BOUNDS), NOW.minusSeconds(10));

    cold.recordStated(TARGET, Duration.ofMillis(700), NOW);

    assertEquals(1, cold.coldCount(NOW));
    assertFalse(cold.trySend(TARGET, SERVICE, NOW.plusMillis(699)));
    assertTrue(cold.trySend(TARGET, SERVICE, NOW.plusMillis(700)));
  }

  @Test
  void should_use_a_cold_target_like_any_other_without_a_rate_or_bounds() {
    RelayService unlimited = TestRequests.plain("request-1").service();
    ColdTargets unbounded = ColdTargets.unlimited();
    unbounded.replaceAnnounced(Map.of(TARGET.id(), new ColdEnd(1, NOW.plusSeconds(3))));

    for (int i = 0; i < 50; i++) {
      assertTrue(coldTargets().trySend(TARGET, unlimited, NOW));
      assertTrue(unbounded.trySend(TARGET, SERVICE, NOW));
    }
    assertTrue(coldTargets().exclusion(TARGET, unlimited, NOW).isEmpty());
    assertTrue(unbounded.exclusion(TARGET, SERVICE, NOW).isEmpty());
  }

  @Test
  void should_send_one_request_in_each_interval_of_a_rate_below_one() {
    ColdTargets cold = ranked(coldTargets(), 1);
    RelayService slow = ColdFleet.service(0.5);

    assertTrue(cold.trySend(TARGET, slow, NOW));
    assertFalse(cold.trySend(TARGET, slow, NOW.plusMillis(1500)));
    cold.replaceAnnounced(Map.of(TARGET.id(), new ColdEnd(1, NOW.plusSeconds(9))));
    cold.recordRank(Optional.of(EntryRank.of(0, 1)), NOW.plusMillis(2000));
    assertTrue(cold.trySend(TARGET, slow, NOW.plusMillis(2100)));
  }

  @Test
  void should_expect_an_allowance_behind_those_that_wait_or_the_first_warm_target() {
    Map<String, ColdEnd> ends = new HashMap<>();
    List<RelayTarget> targets =
        IntStream.range(0, 4).mapToObj(i -> TestRequests.target("engine-" + i)).toList();
    targets.forEach(target -> ends.put(target.id(), new ColdEnd(1, NOW.plusSeconds(3))));
    ColdTargets cold = ranked(coldTargets(), 9);
    cold.replaceAnnounced(ends);

    assertEquals(NOW, cold.expectedAt(targets, SERVICE, 0, NOW));
    assertEquals(NOW, cold.expectedAt(targets, SERVICE, 3, NOW));
    assertEquals(NOW.plusMillis(1050), cold.expectedAt(targets, SERVICE, 4, NOW));
    assertEquals(NOW.plusSeconds(3), cold.expectedAt(targets, SERVICE, 40, NOW));
  }

  private static ColdTargets coldTargets() {
    ColdTargets cold = ColdTargets.within(Optional.of(ColdFleet.BOUNDS), NOW.minusSeconds(10));
    cold.replaceAnnounced(Map.of(TARGET.id(), new ColdEnd(1, NOW.plusSeconds(3))));
    return cold;
  }

  private static ColdTargets ranked(ColdTargets cold, int instances) {
    cold.recordRank(Optional.of(EntryRank.of(0, instances)), NOW);
    return cold;
  }
}

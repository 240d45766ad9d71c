package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.objects.RelayService;
import org.junit.jupiter.api.Test;

/**
 * Replays the load pattern in which many targets become cold at once while all instances go on
 * placing requests, and hold ranks of different age.
 */
class ColdLoadPatternTest {

  private static final double RATE = 9.9;
  private static final int BOUND = (int) (RATE * 1.5 + 5);
  private static final int INSTANCES = 84;
  private static final int TARGETS = 63;
  private static final int COLD_TARGETS = 30;
  private static final double REQUESTS_PER_STEP = 8.0 * ColdFleet.STEP_MILLIS / 1000;
  private static final long SERVICE_MILLIS = 400;
  private static final Duration WARM_UP = EntryRanks.NEW_LEADER_WAIT.plusSeconds(2);
  private static final Duration COLD_TIME = Duration.ofSeconds(8);

  /** Share of lost heartbeats, with which some ranks are older than they may be. */
  private static final double LOST_HEARTBEATS = 0.7;

  private final RelayService service = ColdFleet.service(RATE);
  private final List<RelayTarget> targets = targets(TARGETS);
  private final ColdFleet fleet = new ColdFleet(5);
  private final PriorityQueue<Running> running = new PriorityQueue<>();
  private int requests;
  private int unplaced;

  /** A request that ends at a time. */
  private record Running(
      long endMillis, RelayLoadTable load, RelayLoadTable.InFlightRequest request)
      implements Comparable<Running> {

    @Override
    public int compareTo(Running other) {
      return Long.compare(endMillis, other.endMillis);
    }
  }

  private static List<RelayTarget> targets(int count) {
    return IntStream.range(0, count).mapToObj(i -> TestRequests.target("engine-" + i)).toList();
  }

  @Test
  void should_send_no_cold_target_more_than_the_bound_in_any_second() {
    int most = mostWhileCold(true);

    assertTrue(most <= BOUND, "sent " + most);
    assertTrue(most >= 4, "sent " + most);
    assertEquals(0, unplaced);
  }

  // Shows that the pattern exceeds the bound without the rule, so that the test above means much.
  @Test
  void should_exceed_the_bound_without_the_rule() {
    int most = mostWhileCold(false);

    assertTrue(most > BOUND, "sent " + most);
  }

  private int mostWhileCold(boolean isLimited) {
    fleet.start(INSTANCES);
    fleet.elect();
    fleet.run(WARM_UP, () -> place(isLimited));
    fleet.loseHeartbeats(LOST_HEARTBEATS);
    targets.subList(0, COLD_TARGETS).forEach(target -> fleet.makeCold(target.id(), COLD_TIME));
    long coldFrom = fleet.nowMillis();
    unplaced = 0;
    fleet.run(COLD_TIME, () -> place(isLimited));
    return targets.subList(0, COLD_TARGETS).stream()
        .mapToInt(target -> fleet.mostInOneSecond(target.id(), coldFrom))
        .max()
        .orElseThrow();
  }

  private void place(boolean isLimited) {
    while (!running.isEmpty() && running.peek().endMillis() <= fleet.nowMillis()) {
      Running ended = running.poll();
      ended.load().recordEnded(ended.request());
    }
    for (ColdFleet.Entry entry : fleet.entries()) {
      if (fleet.random().nextDouble() < REQUESTS_PER_STEP) {
        place(entry, isLimited);
      }
    }
  }

  private void place(ColdFleet.Entry entry, boolean isLimited) {
    PlacementRules standard = PlacementRules.standard("dc-1");
    PlacementRules rules = isLimited ? standard.with(new ColdExclusion(entry.cold())) : standard;
    ResolvedRequest request = request("request-" + requests++);
    PlacementQuery query =
        new PlacementQuery(
            request, targets, Set.of(), INSTANCES, 0, TestRequests.RATES, entry.now());
    Optional<RelayPlacement.Choice> choice = RelayPlacement.of(rules).choose(query, entry.load());
    if (choice.isEmpty()) {
      unplaced++;
      return;
    }
    RelayTarget target = choice.get().target();
    if (isLimited) {
      assertTrue(entry.cold().trySend(target, service, entry.now()));
    }
    entry.recordSend(target);
    running.add(
        new Running(
            fleet.nowMillis() + SERVICE_MILLIS,
            entry.load(),
            entry.load().recordSent(target, request, 0)));
  }

  private ResolvedRequest request(String id) {
    ResolvedRequest plain = TestRequests.plain(id);
    return new ResolvedRequest(
        plain.request(),
        plain.route(),
        service,
        plain.organisation(),
        plain.sharing(),
        plain.deadline());
  }

  @Test
  void should_tell_when_a_request_can_be_sent_while_all_targets_are_cold() {
    Instant now = TestRequests.NOW;
    ColdTargets cold =
        ColdTargets.within(Optional.of(ColdFleet.BOUNDS), now.minus(Duration.ofSeconds(10)));
    Map<String, ColdEnd> ends = new HashMap<>();
    targets.forEach(target -> ends.put(target.id(), new ColdEnd(1, now.plusMillis(2500))));
    cold.replaceAnnounced(ends);
    RelayPlacement placement =
        RelayPlacement.of(PlacementRules.standard("dc-1").with(new ColdExclusion(cold)));
    RelayLoadTable load = RelayLoadTable.forInstance("entry-1");

    Openings withoutRank = placement.openings(query(now), load);
    assertTrue(placement.choose(query(now), load).isEmpty() && withoutRank.isCold());
    assertEquals(Optional.of(now.plusMillis(2500)), withoutRank.opensAt());

    cold.recordRank(Optional.of(EntryRank.of(3, INSTANCES)), now);
    List<RelayTarget> sentTo = new ArrayList<>();
    Optional<RelayPlacement.Choice> choice = placement.choose(query(now), load);
    while (choice.isPresent()) {
      sentTo.add(choice.get().target());
      assertTrue(cold.trySend(choice.get().target(), service, now));
      choice = placement.choose(query(now), load);
    }
    Openings openings = placement.openings(query(now), load);
    assertTrue(sentTo.size() >= 2 && sentTo.size() <= 14, "sent " + sentTo.size());
    assertEquals(Optional.of(now.plusMillis(1050)), openings.opensAt());
    assertTrue(openings.isCold());
    assertEquals(
        now.plusMillis(2500),
        cold.expectedAt(openings.waitable(), service, 2 * sentTo.size(), now));
  }

  @Test
  void should_not_take_all_targets_to_be_cold_while_one_is_occupied() {
    Instant now = TestRequests.NOW;
    ColdTargets cold = ColdTargets.within(Optional.of(ColdFleet.BOUNDS), now);
    Map<String, ColdEnd> ends = new HashMap<>();
    targets
        .subList(1, TARGETS)
        .forEach(target -> ends.put(target.id(), new ColdEnd(1, now.plusSeconds(3))));
    cold.replaceAnnounced(ends);
    RelayPlacement placement =
        RelayPlacement.of(
            PlacementRules.standard("dc-1")
                .with(new ColdExclusion(cold))
                .with(
                    (query, target, at) ->
                        target.equals(targets.get(0))
                            ? Optional.of(
                                new Exclusion(Exclusion.Reason.SLOTS_OCCUPIED, Optional.empty()))
                            : Optional.empty()));

    Openings openings = placement.openings(query(now), RelayLoadTable.forInstance("entry-1"));

    assertFalse(openings.isCold());
    assertEquals(Optional.of(now), openings.opensAt());
  }

  private PlacementQuery query(Instant now) {
    ResolvedRequest request = request("request-" + requests++);
    return new PlacementQuery(request, targets, Set.of(), INSTANCES, 0, TestRequests.RATES, now);
  }
}

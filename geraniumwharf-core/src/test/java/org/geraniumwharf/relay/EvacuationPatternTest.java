package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Replays bursts of requests that keep arriving while a data centre is evacuated and returns.
 * Guards against requests to its targets after the instances learned of the start, and against
 * targets that stay unused after the end.
 */
class EvacuationPatternTest {

  private static final int INSTANCES = 10;
  private static final int TARGETS_PER_DATA_CENTRE = 3;
  private static final int CONTEXTS = 500;
  private static final long SEEDS = 5;
  private static final long START_MILLIS = 2000;
  private static final long END_MILLIS = 6000;
  private static final Duration LENGTH = Duration.ofSeconds(8);

  /** Longest time from the acknowledgement of an order to its arrival in the view of an entry. */
  private static final long VIEW_DELAY_MILLIS = 250;

  /** Requests whose connection is being opened when the view changes; some 180 arrive a second. */
  private static final int MAX_DECIDED_AGAIN = 20;

  private static final double LEAST_SHARE_AFTER_END = 0.2;

  @Test
  void should_send_no_generation_to_an_evacuated_data_centre_and_use_it_again_afterwards() {
    LongStream.range(0, SEEDS)
        .forEach(
            seed ->
                assertEvacuated(
                    run(
                        seed,
                        number ->
                            TestRequests.generation(
                                new PromptPart("context-" + number % CONTEXTS, 800),
                                new PromptPart("own-" + number, 200)))));
  }

  @Test
  void should_send_no_plain_request_to_an_evacuated_data_centre_and_use_it_again_afterwards() {
    LongStream.range(0, SEEDS)
        .forEach(seed -> assertEvacuated(run(seed, EvacuationPatternTest::plain)));
  }

  /** An instance out of contact goes on with its view, and obeys as soon as it has the newest. */
  @Test
  void should_send_nothing_from_an_instance_that_was_out_of_contact_once_it_has_the_view() {
    long backMillis = START_MILLIS + 2000;
    EvacuatedFleet fleet = new EvacuatedFleet(1, INSTANCES, TARGETS_PER_DATA_CENTRE);
    fleet.order(true, START_MILLIS, VIEW_DELAY_MILLIS, Set.of(0));
    fleet.tellInstance(0, true, backMillis);
    fleet.run(EvacuationPatternTest::plain, LENGTH);

    List<EvacuatedFleet.Send> late =
        fleet.sendsToEvacuated(START_MILLIS + VIEW_DELAY_MILLIS, LENGTH.toMillis());

    assertFalse(late.isEmpty());
    assertTrue(late.stream().allMatch(send -> send.instance() == 0), "" + late);
    assertTrue(late.stream().allMatch(send -> send.atMillis() <= backMillis), "" + late);
  }

  @Test
  void should_refuse_at_once_while_all_targets_are_evacuated() {
    PlacementQuery query = query(List.of(target("a", "dc-2"), target("b", "dc-2")));
    RelayPlacement placement = placement(Set.of("dc-2"));
    RelayLoadTable load = RelayLoadTable.forInstance("entry-1");

    RelayPlacement.Decision decision = placement.decide(query, load);

    assertTrue(decision.choice().isEmpty() && !decision.isBusy());
    assertEquals(Optional.empty(), placement.openings(query, load).opensAt());
    assertTrue(exclusion(Set.of("dc-2")).isEveryExcluded(query.targets()));
    assertFalse(exclusion(Set.of("dc-1")).isEveryExcluded(query.targets()));
    assertFalse(exclusion(Set.of("dc-2")).isEveryExcluded(List.of()));
  }

  /** Guards against probes with real requests, and streams resumed, at evacuated targets. */
  @Test
  void should_not_probe_an_ejected_target_of_an_evacuated_data_centre() {
    RelayTarget ejected = target("a", "dc-1");
    RelayTarget evacuated = target("b", "dc-2");
    RelayTarget evacuatedAndEjected = target("c", "dc-2");
    RelayLoadTable load = RelayLoadTable.forInstance("entry-1");
    load.recordRejection(ejected.id(), TestRequests.NOW);
    load.recordRejection(evacuatedAndEjected.id(), TestRequests.NOW);
    RelayPlacement placement = placement(Set.of("dc-2"));

    Optional<RelayPlacement.Choice> resumed =
        placement.chooseIncludingEjected(
            query(List.of(evacuated, evacuatedAndEjected, ejected)), load);
    Optional<RelayPlacement.Choice> withoutOther =
        placement.chooseIncludingEjected(query(List.of(evacuated, evacuatedAndEjected)), load);

    assertEquals(ejected, resumed.orElseThrow().target());
    assertEquals(Optional.empty(), withoutOther);
  }

  private static EvacuatedFleet run(long seed, IntFunction<ResolvedRequest> requests) {
    EvacuatedFleet fleet = new EvacuatedFleet(seed, INSTANCES, TARGETS_PER_DATA_CENTRE);
    fleet.order(true, START_MILLIS, VIEW_DELAY_MILLIS, Set.of());
    fleet.order(false, END_MILLIS, VIEW_DELAY_MILLIS, Set.of());
    fleet.run(requests, LENGTH);
    return fleet;
  }

  private static void assertEvacuated(EvacuatedFleet fleet) {
    long before = fleet.sendsToEvacuated(0, START_MILLIS).size();
    List<EvacuatedFleet.Send> during =
        fleet.sendsToEvacuated(START_MILLIS + VIEW_DELAY_MILLIS, END_MILLIS);
    long after = END_MILLIS + VIEW_DELAY_MILLIS;
    double share =
        (double) fleet.sendsToEvacuated(after, LENGTH.toMillis()).size()
            / fleet.sends(after, LENGTH.toMillis()).size();

    assertTrue(before > 0);
    assertEquals(List.of(), during);
    assertFalse(fleet.sends(START_MILLIS + VIEW_DELAY_MILLIS, END_MILLIS).isEmpty());
    assertTrue(share >= LEAST_SHARE_AFTER_END, "share after the end: " + share);
    assertEquals(0, fleet.refused());
    assertTrue(fleet.decidedAgain() <= MAX_DECIDED_AGAIN, "again: " + fleet.decidedAgain());
  }

  private static ResolvedRequest plain(int number) {
    return TestRequests.plain("request-" + number);
  }

  private static EvacuationExclusion exclusion(Set<String> evacuated) {
    return EvacuationExclusion.of(() -> evacuated);
  }

  private static RelayPlacement placement(Set<String> evacuated) {
    return RelayPlacement.of(PlacementRules.standard("dc-1").with(exclusion(evacuated)));
  }

  private static PlacementQuery query(List<RelayTarget> targets) {
    return new PlacementQuery(
        TestRequests.plain("request-1"),
        new ArrayList<>(targets),
        Set.of(),
        1,
        0,
        TestRequests.RATES,
        TestRequests.NOW);
  }

  static RelayTarget target(String id, String dataCentre) {
    return new RelayTarget(id, 1, "10.0.0.1:80", dataCentre, 48, "model", 1);
  }
}

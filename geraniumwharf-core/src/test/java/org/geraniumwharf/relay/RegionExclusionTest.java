package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that reach targets in regions in which they must not be served. */
class RegionExclusionTest {

  private static final int TARGETS = 60;
  private static final int INSTANCES = 29;
  private static final int REQUESTS = 200;
  private static final Instant NOW = TestRequests.NOW;
  private static final DataCentreRegions REGIONS =
      DataCentreRegions.of(Map.of("dc-1", "north", "dc-2", "south"));

  /** Every third target is in a data centre whose region is not known. */
  private static final List<String> DATA_CENTRES = List.of("dc-1", "dc-2", "dc-unknown");

  private static final ResolvedRequest DRAFT =
      TestRequests.generation(new PromptPart("context", 8000), new PromptPart("own", 2000));

  private final RelayLoadTable load = RelayLoadTable.forInstance("entry-1");
  private final List<RelayTarget> targets = new ArrayList<>();
  private final RelayPlacement placement =
      RelayPlacement.of(PlacementRules.standard("dc-2").with(RegionExclusion.of(() -> REGIONS)));

  RegionExclusionTest() {
    for (int i = 0; i < TARGETS; i++) {
      targets.add(TestRequests.target("engine-" + i, DATA_CENTRES.get(i % DATA_CENTRES.size())));
    }
  }

  @Test
  void should_send_requests_only_to_the_regions_of_the_route() {
    assertEquals(Set.of("dc-1"), dataCentresOf(restricted(List.of("north"), List.of())));
  }

  @Test
  void should_send_requests_only_to_the_regions_of_the_organisation() {
    assertEquals(Set.of("dc-1"), dataCentresOf(restricted(List.of(), List.of("north"))));
  }

  @Test
  void should_apply_both_lists() {
    List<String> both = List.of("north", "south");

    assertEquals(Set.of("dc-1"), dataCentresOf(restricted(both, List.of("west", "north"))));
    assertEquals(Set.of("dc-1", "dc-2"), dataCentresOf(restricted(both, both)));
  }

  @Test
  void should_send_requests_without_lists_to_all_regions() {
    assertEquals(Set.copyOf(DATA_CENTRES), dataCentresOf(DRAFT));
    assertEquals(Set.copyOf(DATA_CENTRES), dataCentresOf(restricted(List.of(), List.of())));
  }

  // Guards against an intersection without regions that counts as no restriction.
  @Test
  void should_send_a_request_nowhere_whose_lists_have_no_region_in_common() {
    ResolvedRequest request = restricted(List.of("north"), List.of("south"));

    assertEquals(Set.of(), dataCentresOf(request));
    assertTrue(DataCentreRegions.isAllowedNowhere(request));
    assertFalse(DataCentreRegions.isAllowedNowhere(restricted(List.of("north"), List.of())));
    assertFalse(DataCentreRegions.isAllowedNowhere(DRAFT));
  }

  @Test
  void should_not_allow_a_data_centre_without_a_known_region() {
    ResolvedRequest request = restricted(List.of("north"), List.of());

    assertFalse(REGIONS.allows(request, "dc-unknown"));
    assertFalse(DataCentreRegions.none().allows(request, "dc-1"));
    assertTrue(DataCentreRegions.none().allows(DRAFT, "dc-1"));
  }

  // Guards against a probe of an ejected target in another region while all allowed ones are full.
  @Test
  void should_probe_no_ejected_target_in_another_region() {
    ResolvedRequest request = restricted(List.of("north"), List.of());
    for (RelayTarget target : targets) {
      if (target.dataCentre().equals("dc-1")) {
        load.recordNotice(target, leaving(), NOW);
      } else {
        load.recordRejection(target.id(), NOW);
      }
    }
    Instant later = NOW.plusSeconds(2);

    assertTrue(placement.decide(query(request, targets, Set.of(), later), load).choice().isEmpty());
    assertTrue(
        placement.chooseIncludingEjected(query(request, targets, Set.of(), later), load).isEmpty());
  }

  // Guards against a repeat or a resumed stream that leaves the region once its targets are tried.
  @Test
  void should_send_no_repeat_to_another_region() {
    ResolvedRequest request = restricted(List.of("north"), List.of());
    Set<String> tried = new HashSet<>();
    targets.stream()
        .filter(target -> target.dataCentre().equals("dc-1"))
        .forEach(target -> tried.add(target.id()));

    assertTrue(placement.decide(query(request, targets, tried, NOW), load).choice().isEmpty());
    assertTrue(
        placement.chooseIncludingEjected(query(request, targets, tried, NOW), load).isEmpty());
  }

  // Guards against a request that waits in the queue for targets it may never be sent to.
  @Test
  void should_expect_no_opening_at_targets_in_other_regions() {
    ResolvedRequest request = restricted(List.of("west"), List.of());

    RelayPlacement.Decision decision =
        placement.decide(query(request, targets, Set.of(), NOW), load);

    assertTrue(decision.choice().isEmpty() && !decision.isBusy());
    assertEquals(
        Optional.empty(),
        placement.openings(query(request, targets, Set.of(), NOW), load).opensAt());
  }

  private static TargetNotice leaving() {
    return TargetNotice.of(true, Optional.empty());
  }

  private static ResolvedRequest restricted(List<String> ofRoute, List<String> ofOrganisation) {
    return TestRequests.inRegions(DRAFT, ofRoute, ofOrganisation);
  }

  /** Returns the data centres of the targets that many requests are placed at. */
  private Set<String> dataCentresOf(ResolvedRequest request) {
    Set<String> found = new HashSet<>();
    List<RelayLoadTable.InFlightRequest> sent = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      ResolvedRequest numbered = TestRequests.withRequestId(request, "request-" + i);
      placement
          .choose(query(numbered, targets, Set.of(), NOW), load)
          .ifPresent(
              choice -> {
                found.add(choice.target().dataCentre());
                sent.add(load.recordSent(choice.target(), numbered, 1));
              });
    }
    sent.forEach(load::recordEnded);
    return found;
  }

  private static PlacementQuery query(
      ResolvedRequest request, List<RelayTarget> targets, Set<String> tried, Instant now) {
    return new PlacementQuery(request, targets, tried, INSTANCES, 0, TestRequests.RATES, now);
  }

  /** Guards against requests that wait for one region and hold up those for another one. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void should_hold_up_only_requests_that_have_no_other_regions(boolean isFair) {
    ResolvedRequest free = TestRequests.plain("free");
    ResolvedRequest north = TestRequests.inRegions(free, List.of("north"), List.of());
    ResolvedRequest south = TestRequests.inRegions(free, List.of(), List.of("south"));

    assertTrue(isHeldUp(isFair, north, north));
    assertFalse(isHeldUp(isFair, south, north));
    assertFalse(isHeldUp(isFair, free, north));
    assertTrue(isHeldUp(isFair, north, free));
    assertTrue(isHeldUp(isFair, free, free));
  }

  private static boolean isHeldUp(
      boolean isFair, ResolvedRequest arrived, ResolvedRequest waiting) {
    RelayQueue<ResolvedRequest> queue = isFair ? RelayQueue.fair() : RelayQueue.create();
    queue.offer(waiting, RequestProfile.of(waiting, true), TestRequests.NOW);
    return queue.mustQueue(
        RequestProfile.of(arrived, true),
        TestRequests.NOW,
        other -> DataCentreRegions.covers(other, arrived));
  }
}

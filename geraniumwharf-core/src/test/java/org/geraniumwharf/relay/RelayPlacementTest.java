package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.limit.RequestLimit;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;
import org.geraniumwharf.schema.messages.TargetWork;
import org.geraniumwharf.schema.objects.Execution;
import org.junit.jupiter.api.Test;

class RelayPlacementTest {

  private static final int INSTANCES = 6;
  private static final List<RelayTarget> TARGETS =
      List.of(
          TestRequests.target("engine-1"),
          TestRequests.target("engine-2"),
          TestRequests.target("engine-3"));
  private static final PromptPart COMMON = new PromptPart("common", 500);
  private static final PromptPart CONTEXT = new PromptPart("context", 8000);
  private static final PromptPart OWN = new PromptPart("own", 2000);
  private static final ResolvedRequest DRAFT = TestRequests.generation(COMMON, CONTEXT, OWN);

  private final RelayLoadTable load = RelayLoadTable.forInstance("entry-1");

  @Test
  void should_agree_with_other_instances_on_the_preferred_target_of_a_context() {
    String preferred = choose(DRAFT).orElseThrow().target().id();

    Optional<RelayPlacement.Choice> other =
        RelayPlacement.forDataCentre("dc-1")
            .choose(query(DRAFT), RelayLoadTable.forInstance("entry-1"));

    assertEquals(preferred, other.orElseThrow().target().id());
  }

  @Test
  void should_choose_the_target_that_has_the_context_cached() {
    RelayTarget other =
        TARGETS.stream()
            .filter(target -> !target.equals(choose(DRAFT).orElseThrow().target()))
            .findFirst()
            .orElseThrow();
    load.recordEnded(load.recordSent(other, DRAFT, 80));

    assertEquals(other, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_avoid_a_target_whose_memory_runs_out() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    for (int i = 0; i < 4; i++) {
      load.recordSent(preferred, DRAFT, 80);
    }

    assertNotEquals(preferred, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_count_remote_load_until_it_expires() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    load.setRemoteLoad(List.of(TargetWork.of(preferred.id(), 8, 84_000, 0)), TestRequests.NOW);

    assertNotEquals(preferred, choose(DRAFT).orElseThrow().target());
    assertEquals(0, load.load(preferred, DRAFT, TestRequests.NOW.plusSeconds(2)).footprint());
  }

  @Test
  void should_avoid_a_target_with_a_backlog() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    load.setRemoteLoad(List.of(TargetWork.of(preferred.id(), 1, 20_000, 150)), TestRequests.NOW);

    assertNotEquals(preferred, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_count_a_request_in_the_backlog_until_its_first_token() {
    RelayTarget target = TARGETS.get(0);
    RelayLoadTable.InFlightRequest run = load.recordSent(target, DRAFT, 80);

    long before = load.load(target, DRAFT, TestRequests.NOW).backlogMillis();
    load.recordFirstToken(run);
    long after = load.load(target, DRAFT, TestRequests.NOW).backlogMillis();
    load.recordEnded(run);

    assertEquals(80, before);
    assertEquals(0, after);
    assertEquals(0, load.load(target, DRAFT, TestRequests.NOW).backlogMillis());
  }

  @Test
  void should_keep_memory_free_for_small_requests() {
    ResolvedRequest small = TestRequests.generation(COMMON, new PromptPart("short", 200));
    for (RelayTarget target : TARGETS) {
      load.setRemoteLoad(
          TARGETS.stream().map(each -> TargetWork.of(each.id(), 8, 80_000, 0)).toList(),
          TestRequests.NOW);
      assertTrue(load.load(target, DRAFT, TestRequests.NOW).hasRemoteReport());
    }

    assertTrue(choose(DRAFT).isEmpty());
    assertTrue(choose(small).isPresent());
  }

  @Test
  void should_spread_plain_requests_over_targets() {
    ResolvedRequest resolved = TestRequests.plain(Execution.IDEMPOTENT);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < TARGETS.size(); i++) {
      RelayTarget target = choose(resolved).orElseThrow().target();
      load.recordSent(target, resolved, 0);
      used.add(target.id());
    }

    assertEquals(TARGETS.size(), used.size());
  }

  @Test
  void should_spread_requests_over_equal_targets() {
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      used.add(choose(TestRequests.plain("request-" + i)).orElseThrow().target().id());
    }

    assertEquals(TARGETS.size(), used.size());
  }

  @Test
  void should_eject_an_unreachable_target() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    load.recordUnreachable(preferred.id(), TestRequests.NOW);

    assertNotEquals(preferred, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_choose_an_ejected_target_only_for_a_response_that_has_started() {
    TARGETS.forEach(target -> load.recordUnreachable(target.id(), TestRequests.NOW));

    Optional<RelayPlacement.Choice> ejected =
        RelayPlacement.forDataCentre("dc-1")
            .chooseIncludingEjected(query(DRAFT, TARGETS, Set.of(TARGETS.get(0).id())), load);

    assertTrue(choose(DRAFT).isEmpty());
    assertNotEquals(TARGETS.get(0), ejected.orElseThrow().target());
  }

  @Test
  void should_not_choose_a_target_at_which_the_request_would_begin_too_late() {
    RelayPlacement.Choice preferred = choose(DRAFT).orElseThrow();
    BeginLimit tooShort = limitAt(preferred.target(), millis(preferred.costMillis() - 1));
    BeginLimit longEnough = limitAt(preferred.target(), millis(preferred.costMillis() + 1));

    assertNotEquals(preferred.target(), choose(DRAFT, tooShort).orElseThrow().target());
    assertEquals(preferred.target(), choose(DRAFT, longEnough).orElseThrow().target());
  }

  @Test
  void should_choose_no_target_for_a_started_response_at_which_none_may_begin() {
    BeginLimit none = (target, now) -> Optional.of(Duration.ZERO);

    Optional<RelayPlacement.Choice> choice =
        RelayPlacement.forDataCentre("dc-1")
            .withLimit(none)
            .chooseIncludingEjected(query(DRAFT), load);

    assertTrue(choice.isEmpty());
  }

  @Test
  void should_choose_nothing_when_every_target_is_full() {
    ResolvedRequest resolved = TestRequests.plain(Execution.IDEMPOTENT);
    for (RelayTarget target : TARGETS) {
      for (int i = 0; i < 100; i++) {
        load.recordSent(target, resolved, 0);
      }
    }

    assertTrue(choose(resolved).isEmpty());
  }

  @Test
  void should_not_share_kept_cache_of_an_isolated_organisation() {
    ResolvedRequest isolated =
        TestRequests.generation(
            Optional.of(TestRequests.organisation("apart", true)), COMMON, CONTEXT, OWN);
    RelayTarget target = TARGETS.get(0);
    load.recordSent(target, DRAFT, 80);

    assertEquals(0, load.load(target, isolated, TestRequests.NOW).cachedTokens());
    assertNotEquals(isolated.cacheScope(target), DRAFT.cacheScope(target));
  }

  @Test
  void should_leave_out_a_target_at_its_limit_and_record_the_demand() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    limit(preferred);

    assertNotEquals(preferred, choose(DRAFT).orElseThrow().target());
    assertEquals(List.of(PermitDemand.of(preferred.id(), 1, 0, 1)), demands());
  }

  @Test
  void should_record_no_demand_for_a_limited_target_that_is_not_the_cheapest() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    TARGETS.stream().filter(target -> !target.equals(preferred)).forEach(this::limit);

    assertEquals(preferred, choose(DRAFT).orElseThrow().target());
    assertTrue(demands().isEmpty());
  }

  @Test
  void should_let_a_request_wait_for_all_targets_when_each_is_at_its_limit() {
    TARGETS.forEach(this::limit);

    assertTrue(choose(DRAFT).isEmpty());
    assertEquals(TARGETS.size(), demands().stream().mapToInt(PermitDemand::waiting).sum());
  }

  @Test
  void should_choose_a_limited_target_while_there_are_permits() {
    RelayTarget preferred = choose(DRAFT).orElseThrow().target();
    limit(preferred);
    PermitGrant grant = PermitGrant.of(preferred.id(), 1, 1, 0, 0);
    load.permits()
        .applyAnswer(
            new TargetPermits.Answer(1, List.of(), List.of(grant)),
            TestRequests.NOW,
            TestRequests.NOW);

    assertEquals(preferred, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_tell_when_a_target_at_its_limit_is_expected_to_have_a_permit() {
    RelayTarget limited = TARGETS.get(0);
    limit(limited);
    PermitGrant grant = PermitGrant.of(limited.id(), 1, 0, 5000, 5000);
    load.permits()
        .applyAnswer(
            new TargetPermits.Answer(1, List.of(), List.of(grant)),
            TestRequests.NOW,
            TestRequests.NOW);

    Instant opensAt = openings(List.of(limited)).opensAt().orElseThrow();

    assertTrue(opensAt.isAfter(TestRequests.NOW.plusSeconds(4)));
    assertEquals(Optional.of(TestRequests.NOW), openings(TARGETS).opensAt());
  }

  private Openings openings(List<RelayTarget> targets) {
    return RelayPlacement.forDataCentre("dc-1").openings(query(DRAFT, targets, Set.of()), load);
  }

  private void limit(RelayTarget target) {
    load.permits()
        .recordResponse(
            target.id(),
            target.incarnation(),
            RequestLimit.of(4),
            TestRequests.NOW,
            TestRequests.NOW);
  }

  private List<PermitDemand> demands() {
    return load.permits().report(TestRequests.NOW).demands();
  }

  private Optional<RelayPlacement.Choice> choose(ResolvedRequest resolved) {
    return choose(resolved, BeginLimit.none());
  }

  private Optional<RelayPlacement.Choice> choose(ResolvedRequest resolved, BeginLimit limit) {
    return RelayPlacement.forDataCentre("dc-1").withLimit(limit).choose(query(resolved), load);
  }

  private static PlacementQuery query(ResolvedRequest resolved) {
    return query(resolved, TARGETS, Set.of());
  }

  private static PlacementQuery query(
      ResolvedRequest resolved, List<RelayTarget> targets, Set<String> tried) {
    return new PlacementQuery(
        resolved, targets, tried, INSTANCES, 0, TestRequests.RATES, TestRequests.NOW);
  }

  private static BeginLimit limitAt(RelayTarget limited, Duration timeLeft) {
    return (target, now) -> target.equals(limited) ? Optional.of(timeLeft) : Optional.empty();
  }

  private static Duration millis(double millis) {
    return Duration.ofMillis(Math.round(millis));
  }
}

package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.TargetWork;
import org.geraniumwharf.schema.objects.Execution;
import org.junit.jupiter.api.Test;

class RelayPlacementTest {

  private static final int INSTANCES = 6;
  private static final List<RelayTarget> TARGETS =
      List.of(Works.target("engine-1"), Works.target("engine-2"), Works.target("engine-3"));
  private static final PromptPart COMMON = new PromptPart("common", 500);
  private static final PromptPart CONTEXT = new PromptPart("context", 8000);
  private static final PromptPart OWN = new PromptPart("own", 2000);
  private static final RelayWork DRAFT = Works.generation(COMMON, CONTEXT, OWN);

  private final RelayLoadTable load = RelayLoadTable.create();

  @Test
  void should_agree_with_other_instances_on_the_home_of_a_context() {
    String home = choose(DRAFT).orElseThrow().target().id();

    Optional<RelayPlacement.Choice> other =
        RelayPlacement.in("dc-1")
            .choose(DRAFT, TARGETS, RelayLoadTable.create(), 0, Set.of(), INSTANCES, Works.NOW);

    assertEquals(home, other.orElseThrow().target().id());
  }

  @Test
  void should_return_to_the_target_that_keeps_the_context() {
    RelayTarget other =
        TARGETS.stream()
            .filter(target -> !target.equals(choose(DRAFT).orElseThrow().target()))
            .findFirst()
            .orElseThrow();
    load.ended(load.sent(other, DRAFT, 80));

    assertEquals(other, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_leave_a_target_whose_memory_runs_out() {
    RelayTarget home = choose(DRAFT).orElseThrow().target();
    for (int i = 0; i < 4; i++) {
      load.sent(home, DRAFT, 80);
    }

    assertNotEquals(home, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_count_what_other_instances_told_and_forget_it_in_time() {
    RelayTarget home = choose(DRAFT).orElseThrow().target();
    load.others(List.of(TargetWork.of(home.id(), 8, 84_000, 0)), Works.NOW);

    assertNotEquals(home, choose(DRAFT).orElseThrow().target());
    assertEquals(0, load.load(home, DRAFT, Works.NOW.plusSeconds(2)).footprint());
  }

  @Test
  void should_leave_a_target_that_is_behind() {
    RelayTarget home = choose(DRAFT).orElseThrow().target();
    load.others(List.of(TargetWork.of(home.id(), 1, 20_000, 150)), Works.NOW);

    assertNotEquals(home, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_count_a_request_into_the_backlog_until_its_first_token() {
    RelayTarget target = TARGETS.get(0);
    RelayLoadTable.Run run = load.sent(target, DRAFT, 80);

    long before = load.load(target, DRAFT, Works.NOW).backlogMillis();
    load.answering(run);
    long after = load.load(target, DRAFT, Works.NOW).backlogMillis();
    load.ended(run);

    assertEquals(80, before);
    assertEquals(0, after);
    assertEquals(0, load.load(target, DRAFT, Works.NOW).backlogMillis());
  }

  @Test
  void should_keep_memory_free_for_small_requests() {
    RelayWork small = Works.generation(COMMON, new PromptPart("short", 200));
    for (RelayTarget target : TARGETS) {
      load.others(
          TARGETS.stream().map(each -> TargetWork.of(each.id(), 8, 80_000, 0)).toList(), Works.NOW);
      assertTrue(load.load(target, DRAFT, Works.NOW).isTold());
    }

    assertTrue(choose(DRAFT).isEmpty());
    assertTrue(choose(small).isPresent());
  }

  @Test
  void should_spread_plain_work_over_targets() {
    RelayWork work = Works.plain(Execution.IDEMPOTENT);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < TARGETS.size(); i++) {
      RelayTarget target = choose(work).orElseThrow().target();
      load.sent(target, work, 0);
      used.add(target.id());
    }

    assertEquals(TARGETS.size(), used.size());
  }

  @Test
  void should_take_equal_targets_in_turn() {
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 30; i++) {
      used.add(choose(Works.plain("request-" + i)).orElseThrow().target().id());
    }

    assertEquals(TARGETS.size(), used.size());
  }

  @Test
  void should_leave_an_unreachable_target_alone_for_a_while() {
    RelayTarget home = choose(DRAFT).orElseThrow().target();
    load.unreachable(home.id(), Works.NOW);

    assertNotEquals(home, choose(DRAFT).orElseThrow().target());
  }

  @Test
  void should_take_a_resting_target_only_for_an_answer_that_has_begun() {
    TARGETS.forEach(target -> load.unreachable(target.id(), Works.NOW));

    Optional<RelayPlacement.Choice> resting =
        RelayPlacement.in("dc-1")
            .chooseEvenResting(
                DRAFT, TARGETS, load, Set.of(TARGETS.get(0).id()), INSTANCES, Works.NOW);

    assertTrue(choose(DRAFT).isEmpty());
    assertNotEquals(TARGETS.get(0), resting.orElseThrow().target());
  }

  @Test
  void should_choose_nothing_when_every_target_is_full() {
    RelayWork work = Works.plain(Execution.IDEMPOTENT);
    for (RelayTarget target : TARGETS) {
      for (int i = 0; i < 100; i++) {
        load.sent(target, work, 0);
      }
    }

    assertTrue(choose(work).isEmpty());
  }

  @Test
  void should_not_share_kept_cache_of_an_isolated_organisation() {
    RelayWork isolated =
        Works.generation(Optional.of(Works.organisation("apart", true)), COMMON, CONTEXT, OWN);
    RelayTarget target = TARGETS.get(0);
    load.sent(target, DRAFT, 80);

    assertEquals(0, load.load(target, isolated, Works.NOW).keptTokens());
    assertNotEquals(isolated.cacheScope(target), DRAFT.cacheScope(target));
  }

  private Optional<RelayPlacement.Choice> choose(RelayWork work) {
    return RelayPlacement.in("dc-1").choose(work, TARGETS, load, 0, Set.of(), INSTANCES, Works.NOW);
  }
}

package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against rules of a part that are not applied, or are applied to too many targets. */
class PlacementRulesTest {

  private static final int TARGETS = 98;
  private static final int INSTANCES = 29;
  private static final Instant WARM = TestRequests.NOW.plusSeconds(3);
  private static final Optional<Exclusion> COLD =
      Optional.of(new Exclusion(Exclusion.Reason.COLD, Optional.of(WARM)));
  private static final ResolvedRequest DRAFT =
      TestRequests.generation(new PromptPart("context", 8000), new PromptPart("own", 2000));

  private final RelayLoadTable load = RelayLoadTable.forInstance("entry-1");
  private final List<RelayTarget> targets = new ArrayList<>();

  PlacementRulesTest() {
    for (int i = 0; i < TARGETS; i++) {
      targets.add(TestRequests.target("engine-" + i));
    }
  }

  @Test
  void should_apply_the_rules_to_few_targets_while_most_accept_requests() {
    List<RelayTarget> asked = new ArrayList<>();
    RelayPlacement placement =
        placement(
            (query, target, at) -> {
              asked.add(target);
              return Optional.empty();
            });

    assertTrue(placement.choose(query(), load).isPresent());
    assertTrue(asked.size() <= 8, "asked " + asked.size());
  }

  @Test
  void should_find_the_only_target_that_no_rule_excludes() {
    RelayTarget only = targets.get(71);
    RelayPlacement placement =
        placement((query, target, at) -> target.equals(only) ? Optional.empty() : COLD);

    assertEquals(only, placement.choose(query(), load).orElseThrow().target());
    assertEquals(Optional.of(TestRequests.NOW), placement.openings(query(), load).opensAt());
  }

  @Test
  void should_tell_until_when_an_added_rule_excludes_all_targets() {
    RelayPlacement placement = placement((query, target, at) -> COLD);

    RelayPlacement.Decision decision = placement.decide(query(), load);
    Openings openings = placement.openings(query(), load);

    assertTrue(decision.choice().isEmpty() && !decision.isBusy());
    assertEquals(WARM, decision.changesAt());
    assertEquals(Optional.of(WARM), openings.opensAt());
    assertEquals(Optional.of(WARM), openings.earliestAt());
  }

  @Test
  void should_explain_what_excludes_each_target_and_the_terms_of_its_estimate() {
    load.recordRejection(targets.get(0).id(), TestRequests.NOW);
    RelayPlacement placement = placement((query, target, at) -> COLD);

    RelayPlacement.Explanation explained = placement.explain(query(), load).get(0);

    assertEquals(
        List.of(Exclusion.Reason.EJECTED, Exclusion.Reason.COLD),
        explained.exclusions().stream().map(Exclusion::reason).toList());
    assertEquals(
        Set.of("DISTANCE", "FIRST_TOKEN", "BACKLOG", "IN_FLIGHT", "MEMORY", "JITTER"),
        explained.termMillis().keySet());
  }

  private static RelayPlacement placement(TargetExclusion exclusion) {
    return RelayPlacement.of(PlacementRules.standard("dc-1").with(exclusion));
  }

  private PlacementQuery query() {
    return new PlacementQuery(
        DRAFT, targets, Set.of(), INSTANCES, 0, TestRequests.RATES, TestRequests.NOW);
  }
}

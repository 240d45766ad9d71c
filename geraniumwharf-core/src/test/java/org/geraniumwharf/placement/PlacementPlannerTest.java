package org.geraniumwharf.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.state.RolloutState;
import org.junit.jupiter.api.Test;

final class PlacementPlannerTest {

  private static final Instant NOW = Instant.EPOCH;

  @Test
  void should_swap_as_many_engines_at_once_as_the_weight_store_allows() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.empty())
            .engines(6, "v1")
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("engine-1", "engine-2"), targets(plan));
    assertEquals(List.of("v1"), plan.orders().get(0).order().replaces());
    assertTrue(plan.heldBack().get(0).reason().contains("already has 2 loads"));
  }

  @Test
  void should_leave_as_many_engines_serving_as_the_floor_requires() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.of(5))
            .engines(6, "v1")
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(1, plan.orders().size());
    assertTrue(plan.heldBack().get(0).reason().contains("its floor is 5"));
  }

  // When exactly as many engines as the floor requires held the old version, and the others no
  // version, no engine was swapped and none was loaded.
  @Test
  void should_load_on_a_free_engine_when_the_floor_prevents_every_swap() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.of(2))
            .engines(2, "v1")
            .engine("engine-3", "dc-1", 1)
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("engine-3"), targets(plan));
  }

  // An engine that was unresponsive during the swap kept the old version and served nothing.
  @Test
  void should_load_the_wanted_version_on_an_engine_that_returns_after_the_swap() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.empty())
            .engine("engine-1", "dc-1", 1, "v2")
            .engine("engine-2", "dc-1", 1, "v1")
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("engine-2"), targets(plan));
    assertEquals("v2", plan.orders().get(0).order().modelVersion());
  }

  @Test
  void should_load_beside_the_old_version_when_there_is_free_capacity() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.of(2))
            .engine("narrow", "dc-1", 1, "v1")
            .engine("wide", "dc-1", 2, "v1")
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("wide"), targets(plan));
    assertEquals(List.of(), plan.orders().get(0).order().replaces());
  }

  @Test
  void should_plan_no_order_while_a_rollout_is_paused_or_stopped() {
    for (RolloutState state : List.of(RolloutState.PAUSED, RolloutState.STOPPED)) {
      PlacementSnapshot snapshot =
          PlacementSnapshotBuilder.create()
              .deployment("drafting", "v2", 1, 10, Optional.empty())
              .engines(6, "v1")
              .rollout("drafting", state)
              .build();

      PlacementPlan plan = plan(snapshot);

      assertEquals(List.of(), plan.orders());
    }
  }

  @Test
  void should_finish_once_every_engine_holds_the_wanted_version() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.empty())
            .engines(3, "v2")
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("drafting"), plan.finished());
  }

  @Test
  void should_spread_missing_replicas_over_data_centres() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v1", 2, 10, Optional.empty())
            .engine("engine-1", "dc-1", 1, "v1")
            .engine("engine-2", "dc-1", 1)
            .engine("engine-3", "dc-2", 1)
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of("engine-3"), targets(plan));
  }

  @Test
  void should_not_take_an_engine_from_a_deployment_that_needs_it() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v1", 1, 10, Optional.empty())
            .deployment("offers", "v2", 1, 10, Optional.empty())
            .engine("engine-1", "dc-1", 1, "v1")
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(List.of(), plan.orders());
    assertEquals("deployment offers lacks 1 replicas", plan.heldBack().get(0).reason());
  }

  @Test
  void should_unload_replicas_beyond_the_maximum() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v1", 1, 2, Optional.empty())
            .engines(3, "v1")
            .build();

    PlacementPlan plan = plan(snapshot);

    assertEquals(1, plan.orders().size());
    assertEquals(false, plan.orders().get(0).order().load());
  }

  @Test
  void should_plan_no_order_for_a_target_in_backoff() {
    PlacementSnapshot snapshot =
        PlacementSnapshotBuilder.create()
            .deployment("drafting", "v2", 1, 10, Optional.empty())
            .engines(2, "v1")
            .rollout("drafting", RolloutState.ROLLING)
            .build();

    PlacementPlan plan = PlacementPlanner.plan(snapshot, Map.of(), Set.of("engine-1"), 1, NOW);

    assertEquals(List.of("engine-2"), targets(plan));
  }

  private static PlacementPlan plan(PlacementSnapshot snapshot) {
    return PlacementPlanner.plan(snapshot, Map.of(), Set.of(), 1, NOW);
  }

  private static List<String> targets(PlacementPlan plan) {
    return plan.orders().stream().map(PlannedOrder::target).toList();
  }
}

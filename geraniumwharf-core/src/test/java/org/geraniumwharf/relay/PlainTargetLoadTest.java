package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.relay.PlainLoadReplay.Load;
import org.geraniumwharf.relay.PlainLoadReplay.Result;
import org.geraniumwharf.schema.objects.Execution;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the load of three plain targets. Guards against instances that all choose the target that
 * looked least loaded in the last report. Each bound is missed by the rules that count requests.
 */
class PlainTargetLoadTest {

  private static final int SECONDS = 20;
  private static final long SEED = 20261206;

  /** Requests that a target holds besides its slots, in the loads with waits. */
  private static final int QUEUE = 18;

  /**
   * Mean load of the target that is most loaded at the time, to that of all. At random requests,
   * the most loaded of three targets with 3.2 requests in the mean has 1.5 times the mean.
   */
  private static final double MOST_TO_MEAN = 1.65;

  @ParameterizedTest
  @ValueSource(ints = {10, 29, 84, 300})
  void should_spread_requests_over_targets_that_refuse_when_full(int instances) {
    Load steady = new Load(instances, 43, 0.53, 0, 1, 1, 0);

    Result learned = PlainLoadReplay.learned(steady, SECONDS, SEED);
    Result counted = PlainLoadReplay.counted(steady, SECONDS, SEED);

    // Targets with 6 slots and independent requests at this utilisation refuse 6 %, without
    // resends.
    assertTrue(learned.refusedShare() <= 0.12, "learned " + learned);
    assertTrue(learned.mostToMean() <= 1.45, "learned " + learned);
    assertTrue(counted.refusedShare() > 0.15, "counted " + counted);
    assertTrue(counted.mostToMean() > 1.47, "counted " + counted);
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 29, 84, 300})
  void should_spread_waves_of_requests_over_targets_that_queue(int instances) {
    Load waves = new Load(instances, 43, 0.53, 0.55, 1, 1, QUEUE);

    Result learned = PlainLoadReplay.learned(waves, SECONDS, SEED);
    Result counted = PlainLoadReplay.counted(waves, SECONDS, SEED);

    assertTrue(learned.refusedShare() <= 0.01, "learned " + learned);
    assertTrue(learned.mostToMean() <= MOST_TO_MEAN, "learned " + learned);
    assertTrue(learned.p90Millis() <= 60, "learned " + learned);
    assertTrue(counted.refusedShare() > 0.02, "counted " + counted);
    assertTrue(counted.mostToMean() > MOST_TO_MEAN, "counted " + counted);
    assertTrue(counted.p90Millis() > 60, "counted " + counted);
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 29, 84, 300})
  void should_spread_groups_of_requests_over_targets_that_queue(int instances) {
    Load groups = new Load(instances, 64, 0.53, 0.27, 3, 1, QUEUE);

    Result learned = PlainLoadReplay.learned(groups, SECONDS, SEED);
    Result counted = PlainLoadReplay.counted(groups, SECONDS, SEED);

    assertTrue(learned.lateShare() <= 0.01, "learned " + learned);
    assertTrue(learned.mostToMean() <= MOST_TO_MEAN, "learned " + learned);
    assertTrue(counted.lateShare() > 0.02, "counted " + counted);
    assertTrue(counted.mostToMean() > MOST_TO_MEAN, "counted " + counted);
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 29, 84, 300})
  void should_send_less_to_a_target_that_is_half_as_fast(int instances) {
    Load uneven = new Load(instances, 43, 0.53, 0, 3, 2, QUEUE);

    Result learned = PlainLoadReplay.learned(uneven, SECONDS, SEED);
    Result counted = PlainLoadReplay.counted(uneven, SECONDS, SEED);

    assertTrue(learned.lateShare() <= 0.03, "learned " + learned);
    assertTrue(counted.lateShare() > 0.03, "counted " + counted);
  }

  @Test
  void should_avoid_a_target_that_refused_a_request_for_a_short_time_only() {
    RelayTarget full = new RelayTarget("target-0", 1, "10.0.0.1:80", "dc-1", 6, "", 0);
    RelayTarget other = new RelayTarget("target-1", 1, "10.0.0.2:80", "dc-1", 6, "", 0);
    RelayLoadTable load = RelayLoadTable.forInstance("entry-1");
    load.startLearning();
    ResolvedRequest request = TestRequests.plain(Execution.IDEMPOTENT);
    RelayLoadTable.InFlightRequest sent = load.recordSent(full, request, 0);
    load.recordRefusal(full, request, TestRequests.NOW);
    load.recordEnded(sent);
    RelayPlacement placement = RelayPlacement.of(PlacementRules.learned("dc-1"));

    assertEquals(0, chosen(placement, load, List.of(full, other), 0, full));
    assertTrue(chosen(placement, load, List.of(full, other), 500, full) > 30);
    assertEquals(Optional.empty(), choose(placement, load, List.of(full), 1, "request-1"));
    assertTrue(choose(placement, load, List.of(full), 60, "request-1").isPresent());
  }

  private static int chosen(
      RelayPlacement placement,
      RelayLoadTable load,
      List<RelayTarget> targets,
      int afterMillis,
      RelayTarget counted) {
    int chosen = 0;
    for (int i = 0; i < 100; i++) {
      Optional<RelayPlacement.Choice> choice =
          choose(placement, load, targets, afterMillis, "request-" + i);
      chosen += choice.orElseThrow().target().equals(counted) ? 1 : 0;
    }
    return chosen;
  }

  private static Optional<RelayPlacement.Choice> choose(
      RelayPlacement placement,
      RelayLoadTable load,
      List<RelayTarget> targets,
      int afterMillis,
      String requestId) {
    return placement.choose(
        new PlacementQuery(
            TestRequests.plain(requestId),
            targets,
            Set.of(),
            29,
            0,
            TestRequests.RATES,
            TestRequests.NOW.plusMillis(afterMillis)),
        load);
  }
}

package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates the load of a day of quotes on entry instances whose reports of remote load are
 * delayed. Guards against all of them choosing the same idle-looking target, which makes short
 * requests miss their goals. The rates and goals are those that the users of the deployment state.
 */
class RelayPlacementLoadTest {

  private static final int INSTANCES = 6;
  private static final int ENGINES = 13;
  private static final int BURST_SIZE = 3;
  private static final double LOAD_SWING = 0.55;
  private static final Duration LOAD_PERIOD = Duration.ofSeconds(13);
  private static final double PEAK_FACTOR = 1.7;
  private static final Duration PEAK_LENGTH = Duration.ofSeconds(3);
  private static final double GOAL_QUANTILE = 0.95;
  private static final double QUERY_GOAL_MILLIS = 300;
  private static final double CHECK_GOAL_MILLIS = 400;

  @Test
  void should_start_short_responses_within_their_goals_under_varying_load_with_bursts() {
    LongStream.range(0, 5)
        .forEach(
            seed -> {
              SimulatedFleet fleet = new SimulatedFleet(seed, INSTANCES, ENGINES);

              fleet.simulate(kinds(1), LOAD_PERIOD, LOAD_SWING, BURST_SIZE);

              assertGoals(fleet, seed);
            });
  }

  @Test
  void should_start_short_responses_within_their_goals_at_peak_load() {
    LongStream.range(0, 5)
        .forEach(
            seed -> {
              SimulatedFleet fleet = new SimulatedFleet(seed, INSTANCES, ENGINES);

              fleet.simulate(kinds(PEAK_FACTOR), PEAK_LENGTH, 0, BURST_SIZE);

              assertGoals(fleet, seed);
            });
  }

  private static List<SimulatedFleet.Kind> kinds(double load) {
    return List.of(
        new SimulatedFleet.Kind("draft", 34.4 * load, 9122, 2870, 380, 0.55),
        new SimulatedFleet.Kind("query", 65.3 * load, 650, 177, 290, 0.6),
        new SimulatedFleet.Kind("check", 83.1 * load, 1861, 507, 23, 0.6));
  }

  private static void assertGoals(SimulatedFleet fleet, long seed) {
    assertGoal(fleet, "query", QUERY_GOAL_MILLIS, seed);
    assertGoal(fleet, "check", CHECK_GOAL_MILLIS, seed);
  }

  private static void assertGoal(SimulatedFleet fleet, String kind, double goal, long seed) {
    double millis = fleet.firstTokenMillis(kind, GOAL_QUANTILE);
    assertTrue(millis <= goal, kind + " took " + millis + " ms with seed " + seed);
  }
}

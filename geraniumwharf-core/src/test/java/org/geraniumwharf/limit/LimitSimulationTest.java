package org.geraniumwharf.limit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the limits of targets in every four seconds of simulated fleets. */
class LimitSimulationTest {

  private static final Duration BEFORE_LIMIT = Duration.ofSeconds(2);
  private static final Duration LEARNING_TIME = Duration.ofSeconds(3);
  private static final Duration STEADY = Duration.ofSeconds(40);
  private static final double LEAST_USE = 0.7;
  private static final int SEEDS = Integer.getInteger("limit.seeds", 3);

  @ParameterizedTest
  @CsvSource({
    "2, 4.3", "2, 0.5", "2, 200", "9, 4.3", "9, 30", "30, 0.5", "30, 4", "30, 200", "90, 0.5",
    "90, 4.3", "90, 30", "90, 200"
  })
  void should_keep_and_use_a_limit_under_demand_at_all_entries(int entries, double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0);
      fleet.pressAll(Math.max(3 * rate / entries, 0.2));
      assertKeptAndUsed(fleet, rate, "seed " + seed);
    }
  }

  @ParameterizedTest
  @CsvSource({"2, 4.3", "9, 0.5", "30, 4", "90, 4.3", "90, 200"})
  void should_let_one_entry_with_all_the_demand_use_the_limit(int entries, double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0);
      fleet.press(0, 3 * rate);
      assertKeptAndUsed(fleet, rate, "seed " + seed);
    }
  }

  private static void assertKeptAndUsed(LimitSimulation fleet, double rate, String context) {
    fleet.run(BEFORE_LIMIT);
    fleet.limit(rate);
    fleet.run(LEARNING_TIME);
    Instant from = fleet.now();
    fleet.run(STEADY);

    assertKept(fleet, rate, from, context);
    double use = fleet.arrivals(from, fleet.now()) / (rate * STEADY.toSeconds());
    assertTrue(use >= LEAST_USE, use + " of the limit used, " + context);
  }

  private static void assertKept(LimitSimulation fleet, double rate, Instant from, String context) {
    double allowed = 4 * rate * 1.5 + 5;
    int most = fleet.mostInWindow(from, fleet.now());
    assertTrue(most <= allowed, most + " in 4 s, allowed " + allowed + ", " + context);
  }

  @ParameterizedTest
  @CsvSource({"2, 4.3", "9, 30", "30, 0.5", "90, 4.3", "90, 200"})
  void should_keep_a_limit_while_heartbeats_are_lost_and_late(int entries, double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0.1);
      fleet.pressAll(Math.max(3 * rate / entries, 0.2));
      fleet.run(BEFORE_LIMIT);
      fleet.limit(rate);
      fleet.run(LEARNING_TIME);
      Instant from = fleet.now();
      fleet.run(STEADY);

      assertKept(fleet, rate, from, "seed " + seed);
    }
  }

  @ParameterizedTest
  @CsvSource({"2, 4.3", "9, 30", "30, 0.5", "90, 4.3", "90, 200"})
  void should_keep_a_limit_over_lost_leaders_and_restarted_entries(int entries, double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0.02);
      fleet.pressAll(Math.max(3 * rate / entries, 0.2));
      fleet.run(BEFORE_LIMIT);
      fleet.limit(rate);
      fleet.run(LEARNING_TIME);
      Instant from = fleet.now();
      for (int round = 0; round < 5; round++) {
        fleet.loseLeader();
        fleet.run(Duration.ofMillis(random.nextInt(6000)));
        fleet.newLeader();
        fleet.run(Duration.ofMillis(3000 + random.nextInt(3000)));
      }

      assertKept(fleet, rate, from, "seed " + seed);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 9, 30})
  void should_observe_limits_that_are_lowered_raised_and_dropped(int entries) {
    for (int seed = 0; seed < SEEDS; seed++) {
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0);
      fleet.pressAll(120.0 / entries);
      fleet.run(BEFORE_LIMIT);

      assertChangeObserved(fleet, 40, "seed " + seed);
      assertChangeObserved(fleet, 4, "seed " + seed);
      assertChangeObserved(fleet, 20, "seed " + seed);

      fleet.unlimit();
      fleet.run(Duration.ofSeconds(2));
      Instant from = fleet.now();
      fleet.run(Duration.ofSeconds(4));
      assertTrue(fleet.arrivals(from, fleet.now()) > 350, "seed " + seed);
    }
  }

  private static void assertChangeObserved(LimitSimulation fleet, double rate, String context) {
    fleet.limit(rate);
    fleet.run(Duration.ofSeconds(1));
    Instant from = fleet.now();
    fleet.run(Duration.ofSeconds(12));

    assertKept(fleet, rate, from, context);
    double use = fleet.arrivals(from, fleet.now()) / (rate * 12);
    assertTrue(use >= LEAST_USE, use + " of " + rate + " used, " + context);
  }

  @ParameterizedTest
  @CsvSource({"9, 4.3", "30, 20"})
  void should_keep_a_limit_at_an_entry_that_started_again(int entries, double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      LimitSimulation fleet = LimitSimulation.create(seed, entries, 0);
      fleet.pressAll(3 * rate / entries);
      fleet.run(BEFORE_LIMIT);
      fleet.limit(rate);
      fleet.run(LEARNING_TIME);
      Instant from = fleet.now();
      for (int round = 0; round < 3; round++) {
        fleet.restart(round);
        fleet.run(Duration.ofSeconds(5));
      }

      assertKept(fleet, rate, from, "seed " + seed);
    }
  }
}

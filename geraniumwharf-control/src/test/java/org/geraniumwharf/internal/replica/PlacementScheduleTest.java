package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class PlacementScheduleTest {

  private static final long FIRST_SEED = Long.getLong("placement.seed", 1);
  private static final int SEEDS = Integer.getInteger("placement.seeds", 300);

  @Test
  void should_keep_the_bounds_and_converge_in_every_schedule() {
    long orders = 0;

    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      orders += runAndReportSeed(seed);
    }

    assertTrue(orders > SEEDS);
  }

  private static long runAndReportSeed(long seed) {
    try {
      return PlacementSchedule.run(seed);
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + " (replay with -Dplacement.seed)", e);
    }
  }
}

package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of faults of the disks, each with losses of power at any operation of the
 * storage and the fault that {@link RaftSchedule#diskFault} names, besides the faults of {@link
 * RaftScheduleTest}. {@code -Ddisk.seeds=N} sets their number, {@code -Ddisk.firstSeed=N} the
 * first, {@code -Ddisk.seed=N} replays one.
 */
class FaultyDiskScheduleTest {

  private static final long FIRST = Long.getLong("disk.firstSeed", 1);
  private static final long SEEDS = Long.getLong("disk.seeds", 2000);

  @Test
  void should_keep_every_guarantee_and_start_again_in_every_schedule() {
    Long replayed = Long.getLong("disk.seed");
    LongStream seeds =
        replayed != null
            ? LongStream.of(replayed)
            : LongStream.rangeClosed(FIRST, FIRST + SEEDS - 1);

    if (replayed != null) {
      System.out.println("seed=" + replayed + " diskFault=" + RaftSchedule.diskFault(replayed));
    }
    List<String> failures =
        seeds
            .parallel()
            .mapToObj(FaultyDiskScheduleTest::failureOf)
            .flatMap(Optional::stream)
            .toList();

    assertEquals(List.of(), failures);
  }

  private static Optional<String> failureOf(long seed) {
    try {
      RaftSchedule.runWithDiskFaults(seed);
      return Optional.empty();
    } catch (AssertionError e) {
      return Optional.of(e.getMessage());
    }
  }
}

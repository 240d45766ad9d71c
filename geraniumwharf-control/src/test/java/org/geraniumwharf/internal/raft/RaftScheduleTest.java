package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of crashes at each write, message loss, delay, duplication and reordering,
 * one-way and two-way partitions, freezes, clock jumps, lost disks, leadership transfers and
 * membership changes. {@code -Dschedule.seeds=N} sets their number, {@code -Dschedule.seed=N}
 * replays one.
 */
class RaftScheduleTest {

  private static final long SEEDS = Long.getLong("schedule.seeds", 2000);

  @Test
  void should_keep_every_guarantee_in_every_schedule() {
    Long replayed = Long.getLong("schedule.seed");
    LongStream seeds =
        replayed != null ? LongStream.of(replayed) : LongStream.rangeClosed(1, SEEDS);

    List<String> failures =
        seeds.parallel().mapToObj(RaftScheduleTest::failureOf).flatMap(Optional::stream).toList();

    assertEquals(List.of(), failures);
  }

  private static Optional<String> failureOf(long seed) {
    try {
      RaftSchedule.run(seed);
      return Optional.empty();
    } catch (AssertionError e) {
      return Optional.of(e.getMessage());
    }
  }
}

package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs random schedules of faults in groups whose leader manages the members. {@code
 * -Dgroup.seeds=N} sets their number, {@code -Dgroup.seed=N} replays one.
 */
class ManagedGroupTest {

  private static final long SEEDS = Long.getLong("group.seeds", 400);

  @Test
  void should_reach_full_membership_and_keep_acknowledged_changes_in_every_schedule() {
    Long replayed = Long.getLong("group.seed");
    LongStream seeds =
        replayed != null ? LongStream.of(replayed) : LongStream.rangeClosed(1, SEEDS);

    List<String> failures =
        seeds.parallel().mapToObj(ManagedGroupTest::failureOf).flatMap(Optional::stream).toList();

    assertEquals(List.of(), failures);
  }

  private static Optional<String> failureOf(long seed) {
    try {
      ManagedGroupSchedule.run(seed);
      return Optional.empty();
    } catch (AssertionError e) {
      return Optional.of(e.getMessage());
    }
  }
}

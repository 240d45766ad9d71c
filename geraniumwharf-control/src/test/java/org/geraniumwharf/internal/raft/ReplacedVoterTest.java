package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.geraniumwharf.internal.raft.ReplacedVoterSchedule.End;
import org.junit.jupiter.api.Test;

/**
 * Guards against a group that never has a leader again after a voter was replaced and others lost
 * their disks. {@code -Dreplaced.seeds=N} sets the number of schedules, {@code -Dreplaced.seed=N}
 * replays one.
 */
class ReplacedVoterTest {

  private static final long SEEDS = Long.getLong("replaced.seeds", 400);

  @Test
  void should_go_on_without_a_voter_that_was_told_to_stop_and_with_two_lost_disks() {
    assertEquals(List.of(), failures(End.STOPPED));
  }

  @Test
  void should_go_on_without_a_voter_that_was_killed_and_with_two_lost_disks() {
    assertEquals(List.of(), failures(End.KILLED));
  }

  private static List<String> failures(End end) {
    Long replayed = Long.getLong("replaced.seed");
    LongStream seeds =
        replayed != null ? LongStream.of(replayed) : LongStream.rangeClosed(1, SEEDS);
    return seeds
        .parallel()
        .mapToObj(seed -> failureOf(seed, end))
        .flatMap(Optional::stream)
        .toList();
  }

  private static Optional<String> failureOf(long seed, End end) {
    try {
      ReplacedVoterSchedule.run(seed, end);
      return Optional.empty();
    } catch (AssertionError e) {
      return Optional.of(e.getMessage());
    }
  }
}

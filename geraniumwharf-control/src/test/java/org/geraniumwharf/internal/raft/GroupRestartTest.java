package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Restarts of whole groups and of single replicas on a network with losses, with an election
 * timeout of 300 ms. {@code -Drestart.seeds=N} sets the number of seeds.
 */
class GroupRestartTest {

  private static final long SEEDS = Long.getLong("restart.seeds", 300);

  /**
   * Well below the least time of a quarter of an election timeout, which every start waited before
   * replicas asked each other for a leader: the median was 100 ms.
   */
  private static final Duration MEDIAN = Duration.ofMillis(70);

  private static final Duration WORST = Duration.ofMillis(1500);

  /** Guards against a group that waits for election timeouts although nobody knows a leader. */
  @Test
  void should_elect_a_leader_at_once_after_a_restart_of_all() {
    assertTimes(restartTimes(0));
  }

  /** Guards against a group that waits for a preferred replica that does not return. */
  @Test
  void should_elect_a_leader_at_once_without_one_replica() {
    assertTimes(restartTimes(1));
  }

  private static List<Duration> restartTimes(int missing) {
    return LongStream.rangeClosed(1, SEEDS)
        .parallel()
        .mapToObj(seed -> new GroupRestart(seed).restartAll(missing))
        .sorted()
        .toList();
  }

  private static void assertTimes(List<Duration> times) {
    Duration median = times.get(times.size() / 2);
    Duration worst = times.get(times.size() - 1);
    assertTrue(median.compareTo(MEDIAN) < 0, "median " + median);
    assertTrue(worst.compareTo(WORST) < 0, "worst " + worst);
  }

  /** Guards against an election that a single restarted replica forces on a working group. */
  @Test
  void should_not_disturb_a_leader_by_the_restart_of_one_replica() {
    List<Long> disturbed =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .filter(GroupRestartTest::isDisturbed)
            .boxed()
            .toList();

    assertEquals(List.of(), disturbed);
  }

  private static boolean isDisturbed(long seed) {
    GroupRestart group = new GroupRestart(seed);
    group.becomeReliable();
    group.awaitLeader();
    return group.isDisturbedByOne();
  }
}

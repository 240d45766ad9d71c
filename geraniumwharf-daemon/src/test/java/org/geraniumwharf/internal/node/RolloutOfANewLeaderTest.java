package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.geraniumwharf.control.Leadership;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RolloutOfANewLeaderTest {

  /** Time after which no request may begin on weights that were replaced. */
  private static final Duration BOUND = Duration.ofSeconds(6);

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 13, 20})
  void should_start_every_engine_within_the_bound_of_its_election(int engines) {
    Leadership second = new Leadership(2, SimulatedRollout.START, Duration.ZERO, false);
    SimulatedRollout rollout = new SimulatedRollout(engines, second, () -> Duration.ofMillis(600));

    rollout.name(Duration.ZERO);
    rollout.run(Duration.ofSeconds(10));

    Duration longest = rollout.longestOnReplacedWeights();
    assertTrue(
        longest.compareTo(BOUND) <= 0,
        () -> "an engine accepted requests on replaced weights " + longest + " after the election");
  }
}

package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.geraniumwharf.control.Leadership;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that keep replaced weights because newer ones are named again and again.
 */
class NewerWeightsBeforeTheLastWaveTest {

  /** Time after which no request may begin on weights that were replaced. */
  private static final Duration BOUND = Duration.ofSeconds(6);

  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);
  private static final int SEEDS = 200;
  private static final int NAMINGS = 15;

  @Test
  void should_bring_every_engine_to_newer_weights_while_weights_are_named_every_two_seconds() {
    SimulatedRollout rollout =
        new SimulatedRollout(13, firstLeader(), () -> Duration.ofMillis(600));

    for (int i = 0; i < NAMINGS; i++) {
      rollout.name(Duration.ZERO);
      rollout.run(Duration.ofSeconds(2));
    }

    assertWithinBound(rollout, "a name every 2 s");
  }

  @RepeatedTest(SEEDS)
  void should_bring_every_engine_to_newer_weights_whenever_weights_are_named(RepetitionInfo info) {
    Random random = new Random(info.getCurrentRepetition());
    SimulatedRollout rollout = rolloutOf(1 + random.nextInt(20), random);

    nameAtRandomTimes(rollout, random);

    assertWithinBound(rollout, "seed " + info.getCurrentRepetition());
  }

  @RepeatedTest(SEEDS)
  void should_start_at_most_a_third_of_the_engines_within_an_interval(RepetitionInfo info) {
    Random random = new Random(info.getCurrentRepetition());
    int engines = 1 + random.nextInt(20);
    SimulatedRollout rollout = rolloutOf(engines, random);

    nameAtRandomTimes(rollout, random);

    int most = rollout.mostStartsWithin(WAVE_INTERVAL);
    assertTrue(
        most <= (engines + 2) / 3,
        () -> "seed " + info.getCurrentRepetition() + ": " + most + " of " + engines);
  }

  private static SimulatedRollout rolloutOf(int engines, Random random) {
    return new SimulatedRollout(
        engines, firstLeader(), () -> Duration.ofMillis(200 + random.nextInt(2000)));
  }

  private static void nameAtRandomTimes(SimulatedRollout rollout, Random random) {
    for (int i = 0; i < NAMINGS; i++) {
      rollout.name(Duration.ZERO);
      rollout.run(Duration.ofMillis(300 + random.nextInt(4000)));
    }
  }

  private static void assertWithinBound(SimulatedRollout rollout, String run) {
    Duration longest = rollout.longestOnReplacedWeights();
    assertTrue(
        longest.compareTo(BOUND) <= 0,
        () -> run + ": an engine accepted requests on weights replaced for " + longest);
  }

  private static Leadership firstLeader() {
    return new Leadership(1, SimulatedRollout.START, Duration.ZERO, true);
  }
}

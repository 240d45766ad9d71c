package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.geraniumwharf.control.Leadership;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against waves that wait for the clock of the process that took the naming. */
class LeaderWithAnotherClockTest {

  private static final int ENGINES = 13;
  private static final int WAVE = 5;

  /** Rest of a new leader, three waves and the last swap. */
  private static final Duration WHOLE_ROLLOUT = Duration.ofMillis(3000 + 3 * 1300 + 600);

  @ParameterizedTest
  @ValueSource(ints = {-3600, -12, -2, 0, 2, 12, 3600})
  void should_bring_every_engine_to_the_weights_whatever_clock_they_were_named_by(int seconds) {
    Leadership second = new Leadership(2, SimulatedRollout.START, Duration.ZERO, false);
    SimulatedRollout rollout = new SimulatedRollout(ENGINES, second, () -> Duration.ofMillis(600));

    rollout.name(Duration.ofSeconds(seconds));
    rollout.run(WHOLE_ROLLOUT);

    assertEquals(ENGINES, rollout.currentEngines());
  }

  @ParameterizedTest
  @ValueSource(ints = {-3600, -12, -2, 0, 2, 12, 3600})
  void should_start_one_wave_at_a_time_whatever_clock_they_were_named_by(int seconds) {
    Leadership second = new Leadership(2, SimulatedRollout.START, Duration.ZERO, false);
    SimulatedRollout rollout = new SimulatedRollout(ENGINES, second, () -> Duration.ofMillis(600));

    rollout.run(Duration.ofSeconds(10));
    rollout.name(Duration.ofSeconds(seconds));
    rollout.run(WHOLE_ROLLOUT);

    assertTrue(rollout.mostStartsWithin(Duration.ofMillis(1200)) <= WAVE);
  }
}

package org.geraniumwharf.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.geraniumwharf.weights.WavePlanner.EngineProgress;
import org.junit.jupiter.api.Test;

class WavePlannerTest {

  @Test
  void should_start_with_a_third_of_the_engines() {
    List<String> next = WavePlanner.nextEngines(waiting(6), Duration.ZERO, Duration.ZERO);

    assertEquals(List.of("engine-0", "engine-1"), next);
  }

  @Test
  void should_not_start_a_wave_before_its_time() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", true, false),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next =
        WavePlanner.nextEngines(engines, Duration.ofMillis(1100), Duration.ofMillis(1100));

    assertEquals(List.of(), next);
  }

  @Test
  void should_start_the_next_wave_while_the_previous_one_still_swaps() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", false, true),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next =
        WavePlanner.nextEngines(engines, Duration.ofMillis(1300), Duration.ofMillis(1300));

    assertEquals(List.of("engine-1"), next);
  }

  @Test
  void should_return_every_engine_after_the_last_wave() {
    List<String> next =
        WavePlanner.nextEngines(waiting(13), Duration.ofSeconds(30), Duration.ofSeconds(30));

    assertEquals(13, next.size());
  }

  @Test
  void should_start_with_one_wave_after_a_late_change_of_leader() {
    List<String> next = WavePlanner.nextEngines(waiting(13), Duration.ofSeconds(30), Duration.ZERO);

    assertEquals(5, next.size());
  }

  @Test
  void should_start_the_next_wave_after_a_late_change_of_leader_while_the_first_still_swaps() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", false, true),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next =
        WavePlanner.nextEngines(engines, Duration.ofSeconds(30), Duration.ofMillis(1300));

    assertEquals(List.of("engine-1"), next);
  }

  private static List<EngineProgress> waiting(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new EngineProgress("engine-" + i, false, false))
        .toList();
  }
}

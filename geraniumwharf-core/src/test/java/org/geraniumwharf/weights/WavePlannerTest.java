package org.geraniumwharf.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.geraniumwharf.weights.WavePlanner.EngineProgress;
import org.junit.jupiter.api.Test;

class WavePlannerTest {

  @Test
  void should_begin_with_a_third_of_the_engines() {
    List<String> next = WavePlanner.next(waiting(6), Duration.ZERO, Duration.ZERO);

    assertEquals(List.of("engine-0", "engine-1"), next);
  }

  @Test
  void should_not_begin_a_wave_before_its_time() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", true, false),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next = WavePlanner.next(engines, Duration.ofMillis(1100), Duration.ofMillis(1100));

    assertEquals(List.of(), next);
  }

  @Test
  void should_begin_the_next_wave_though_the_one_before_still_swaps() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", false, true),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next = WavePlanner.next(engines, Duration.ofMillis(1300), Duration.ofMillis(1300));

    assertEquals(List.of("engine-1"), next);
  }

  @Test
  void should_name_every_engine_after_the_last_wave() {
    List<String> next =
        WavePlanner.next(waiting(13), Duration.ofSeconds(30), Duration.ofSeconds(30));

    assertEquals(13, next.size());
  }

  @Test
  void should_begin_with_one_wave_under_a_leader_that_comes_late() {
    List<String> next = WavePlanner.next(waiting(13), Duration.ofSeconds(30), Duration.ZERO);

    assertEquals(5, next.size());
  }

  @Test
  void should_take_the_next_wave_under_a_late_leader_though_the_first_still_swaps() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", false, true),
            new EngineProgress("engine-1", false, false),
            new EngineProgress("engine-2", false, false));

    List<String> next = WavePlanner.next(engines, Duration.ofSeconds(30), Duration.ofMillis(1300));

    assertEquals(List.of("engine-1"), next);
  }

  private static List<EngineProgress> waiting(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new EngineProgress("engine-" + i, false, false))
        .toList();
  }
}

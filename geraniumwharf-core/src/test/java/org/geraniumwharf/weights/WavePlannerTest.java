package org.geraniumwharf.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.geraniumwharf.weights.WavePlanner.EngineProgress;
import org.junit.jupiter.api.Test;

class WavePlannerTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);

  private final WavePlanner planner = WavePlanner.create();

  @Test
  void should_start_with_a_third_of_the_engines() {
    List<String> next = planner.nextEngines(waiting(6), 2, NOW);

    assertEquals(List.of("engine-0", "engine-1"), next);
  }

  @Test
  void should_not_start_a_wave_before_its_time() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", 2, false),
            new EngineProgress("engine-1", 1, false),
            new EngineProgress("engine-2", 1, false));
    planner.recordStart(NOW);

    List<String> next = planner.nextEngines(engines, 2, NOW.plusMillis(1100));

    assertEquals(List.of(), next);
  }

  @Test
  void should_start_the_next_wave_while_the_previous_one_still_swaps() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", 1, true),
            new EngineProgress("engine-1", 1, false),
            new EngineProgress("engine-2", 1, false));
    planner.recordStart(NOW);

    List<String> next = planner.nextEngines(engines, 2, NOW.plusMillis(1300));

    assertEquals(List.of("engine-1"), next);
  }

  @Test
  void should_return_every_engine_once_by_the_last_wave() {
    List<EngineProgress> engines = waiting(13);
    List<String> started = new ArrayList<>();

    for (int wave = 0; wave < 3; wave++) {
      Instant now = NOW.plus(WAVE_INTERVAL.multipliedBy(wave));
      List<String> next = planner.nextEngines(swapping(engines, started), 2, now);
      next.forEach(id -> planner.recordStart(now));
      started.addAll(next);
    }

    assertEquals(13, started.size());
    assertEquals(13, started.stream().distinct().count());
  }

  @Test
  void should_start_with_one_wave_however_late_the_leader_was_elected() {
    List<String> next = WavePlanner.create().nextEngines(waiting(13), 2, NOW.plusSeconds(30));

    assertEquals(5, next.size());
  }

  // Guards against the last engines of a change of leader that wait for waves long overdue.
  @Test
  void should_start_overdue_engines_as_soon_as_less_than_a_wave_is_swapping() {
    List<EngineProgress> engines = waiting(13);
    planner.recordNamed(2, NOW);
    Instant late = NOW.plusSeconds(30);
    List<String> first = planner.nextEngines(engines, 2, late);
    first.forEach(id -> planner.recordStart(late));

    List<String> whileSwapping =
        planner.nextEngines(swapping(engines, first), 2, late.plusMillis(600));
    List<String> next =
        planner.nextEngines(swapping(engines, first.subList(0, 2)), 2, late.plusMillis(600));

    assertEquals(5, first.size());
    assertEquals(List.of(), whileSwapping);
    assertEquals(3, next.size());
  }

  @Test
  void should_start_at_most_a_wave_within_an_interval_when_newer_weights_are_named() {
    List<EngineProgress> engines = waiting(13);
    List<String> first = planner.nextEngines(engines, 2, NOW);
    first.forEach(id -> planner.recordStart(NOW));

    List<String> next = planner.nextEngines(engines, 3, NOW.plusMillis(600));

    assertEquals(5, first.size());
    assertEquals(List.of(), next);
  }

  @Test
  void should_start_the_engines_with_the_oldest_weights_first() {
    List<EngineProgress> engines =
        List.of(
            new EngineProgress("engine-0", 3, false),
            new EngineProgress("engine-1", 2, false),
            new EngineProgress("engine-2", 1, false));

    List<String> next = planner.nextEngines(engines, 4, NOW);

    assertEquals(List.of("engine-2"), next);
  }

  private static List<EngineProgress> waiting(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new EngineProgress("engine-" + i, 1, false))
        .toList();
  }

  private static List<EngineProgress> swapping(List<EngineProgress> engines, List<String> ids) {
    return engines.stream()
        .map(engine -> new EngineProgress(engine.id(), 1, ids.contains(engine.id())))
        .toList();
  }
}

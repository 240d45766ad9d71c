package org.geraniumwharf.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Lets the engines of a model take new weights in waves, so that the others serve meanwhile. An
 * engine that swaps takes no new work and finishes what it runs; the waves therefore follow each
 * other by time, whether or not the wave before has finished, so that the last one still has time
 * for its longest runs.
 */
public final class WavePlanner {

  private static final int WAVE_COUNT = 3;
  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);

  private WavePlanner() {}

  /**
   * How far one engine is.
   *
   * @param id the engine
   * @param isCurrent whether it holds the new weights
   * @param isSwapping whether it was told to take them
   */
  public record EngineProgress(String id, boolean isCurrent, boolean isSwapping) {}

  /**
   * Returns the engines that take the weights now.
   *
   * @param sinceNamed time since the weights were named
   * @param sinceOrdering time for which this leader may give orders; one that comes late makes up
   *     for it in waves, not at once
   */
  public static List<String> nextEngines(
      List<EngineProgress> engines, Duration sinceNamed, Duration sinceOrdering) {
    int waveSize = (engines.size() + WAVE_COUNT - 1) / WAVE_COUNT;
    long allowed = Math.min(engines.size(), startedWaves(sinceNamed) * waveSize);
    long mostSwapping = startedWaves(sinceOrdering) * waveSize;
    long current = engines.stream().filter(EngineProgress::isCurrent).count();
    long swapping = engines.stream().filter(WavePlanner::isStillSwapping).count();
    List<String> next = new ArrayList<>();
    for (EngineProgress engine : engines) {
      long swappingThen = swapping + next.size();
      boolean isRoom = swappingThen < mostSwapping && current + swappingThen < allowed;
      if (isRoom && !engine.isCurrent() && !engine.isSwapping()) {
        next.add(engine.id());
      }
    }
    return next;
  }

  private static boolean isStillSwapping(EngineProgress engine) {
    return engine.isSwapping() && !engine.isCurrent();
  }

  private static long startedWaves(Duration elapsed) {
    return 1 + Math.max(0, elapsed.toMillis()) / WAVE_INTERVAL.toMillis();
  }
}

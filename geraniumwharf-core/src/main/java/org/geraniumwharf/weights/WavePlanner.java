package org.geraniumwharf.weights;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Plans the waves in which the engines of a model load new weights, so that the other engines keep
 * serving. An engine that swaps its weights accepts no new requests and finishes those that it
 * runs. Waves start at fixed intervals, whether or not the previous one has finished, so that the
 * last wave still has time for its longest requests.
 */
public final class WavePlanner {

  private static final int WAVE_COUNT = 3;
  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);

  private WavePlanner() {}

  /**
   * Progress of one engine.
   *
   * @param id id of the engine
   * @param isCurrent whether it holds the new weights
   * @param isSwapping whether it was ordered to load them
   */
  public record EngineProgress(String id, boolean isCurrent, boolean isSwapping) {}

  /**
   * Returns the ids of the engines that are to load the weights now.
   *
   * @param sinceNamed time since the weights were named
   * @param sinceOrdering time for which this leader has been allowed to give orders; a leader
   *     elected late in the rollout also starts one wave after the other, not all at once
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
      long swappingNext = swapping + next.size();
      boolean isAllowed = swappingNext < mostSwapping && current + swappingNext < allowed;
      if (isAllowed && !engine.isCurrent() && !engine.isSwapping()) {
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

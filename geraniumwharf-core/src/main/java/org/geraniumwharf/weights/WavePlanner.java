package org.geraniumwharf.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Plans the waves in which the engines of a model load new weights, so that the other engines keep
 * serving. An engine that swaps its weights accepts no new requests and finishes those that it
 * runs. At most a wave of engines starts in any interval, however often weights are named and
 * whether or not earlier swaps have ended; the engines with the oldest weights are first. Not
 * thread-safe.
 */
public final class WavePlanner {

  private static final int WAVE_COUNT = 3;
  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);

  private final Deque<Instant> recentStarts = new ArrayDeque<>();

  private WavePlanner() {}

  public static WavePlanner create() {
    return new WavePlanner();
  }

  /**
   * Progress of one engine.
   *
   * @param id id of the engine
   * @param version version of the weights that it holds
   * @param isSwapping whether its swap to newer weights has started and not ended
   */
  public record EngineProgress(String id, long version, boolean isSwapping) {}

  /**
   * Returns the ids of the engines that are to load the newest weights now.
   *
   * @param engines all engines of the model that serve
   * @param newestVersion newest version that was named
   */
  public List<String> nextEngines(List<EngineProgress> engines, long newestVersion, Instant now) {
    int waveSize = (engines.size() + WAVE_COUNT - 1) / WAVE_COUNT;
    return engines.stream()
        .filter(engine -> engine.version() < newestVersion && !engine.isSwapping())
        .sorted(Comparator.comparingLong(EngineProgress::version))
        .limit(Math.max(0, waveSize - startsWithinInterval(now)))
        .map(EngineProgress::id)
        .toList();
  }

  private int startsWithinInterval(Instant now) {
    recentStarts.removeIf(start -> !now.isBefore(start.plus(WAVE_INTERVAL)));
    return recentStarts.size();
  }

  /** Records that an engine starts to load weights. */
  public void recordStart(Instant now) {
    recentStarts.add(now);
  }
}

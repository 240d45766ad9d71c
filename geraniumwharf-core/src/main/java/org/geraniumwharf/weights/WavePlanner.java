package org.geraniumwharf.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * Plans the waves in which the engines of a model load new weights, so that the other engines keep
 * serving. An engine that swaps its weights accepts no new requests and finishes those that it
 * runs. At most a wave of engines starts in any interval, however often weights are named and
 * whether or not earlier swaps have ended; the engines with the oldest weights are first.
 *
 * <p>Engines whose weights were replaced so long ago that every wave should have started, as after
 * a change of leader, start as soon as less than a wave of engines is swapping. All times are of
 * the process that plans. Not thread-safe.
 */
public final class WavePlanner {

  private static final int WAVE_COUNT = 3;
  private static final Duration WAVE_INTERVAL = Duration.ofMillis(1200);

  /** Time after which the last wave should have started. */
  private static final Duration OVERDUE = WAVE_INTERVAL.multipliedBy(WAVE_COUNT);

  private final Deque<Instant> recentStarts = new ArrayDeque<>();
  private final Deque<Name> recentNames = new ArrayDeque<>();
  private long newestNamed;
  private long overdueBelow;

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

  /** A version, with the time at which this process learned that it was named. */
  private record Name(long version, Instant knownAt) {}

  /** Takes the newest version that was named, also while this process gives no orders. */
  public void recordNamed(long version, Instant now) {
    if (version > newestNamed) {
      newestNamed = version;
      recentNames.add(new Name(version, now));
    }
    while (!recentNames.isEmpty() && !now.isBefore(recentNames.peek().knownAt().plus(OVERDUE))) {
      overdueBelow = recentNames.poll().version();
    }
  }

  /**
   * Returns the ids of the engines that are to load the newest weights now.
   *
   * @param engines all engines of the model that serve
   * @param newestVersion newest version that was named
   */
  public List<String> nextEngines(List<EngineProgress> engines, long newestVersion, Instant now) {
    recordNamed(newestVersion, now);
    int waveSize = (engines.size() + WAVE_COUNT - 1) / WAVE_COUNT;
    int paced = waveSize - startsWithinInterval(now);
    long catchingUp = waveSize - engines.stream().filter(EngineProgress::isSwapping).count();
    List<String> next = new ArrayList<>();
    for (EngineProgress engine : oldestFirst(engines, newestVersion)) {
      long free = engine.version() < overdueBelow ? Math.max(paced, catchingUp) : paced;
      if (next.size() < free) {
        next.add(engine.id());
      }
    }
    return next;
  }

  private static List<EngineProgress> oldestFirst(
      List<EngineProgress> engines, long newestVersion) {
    return engines.stream()
        .filter(engine -> engine.version() < newestVersion && !engine.isSwapping())
        .sorted(Comparator.comparingLong(EngineProgress::version))
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

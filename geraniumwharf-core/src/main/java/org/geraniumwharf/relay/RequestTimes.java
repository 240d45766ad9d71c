package org.geraniumwharf.relay;

import java.util.HashMap;
import java.util.Map;

/** Time that targets take for a request, by kind and work. Not thread-safe. */
final class RequestTimes {

  /** Time for a request of any kind without observations, ms. */
  private static final double INITIAL_MILLIS = 40;

  /** Time for a unit of work without observations, ms. */
  private static final double INITIAL_MILLIS_PER_WORK = 1 / 64.0;

  /** Weight of the newest observation. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Part of the time that grows with the work of a request. */
  private static final double WORK_PART = 0.5;

  /** Greatest ratio of the work of a request to that of its kind that is taken into account. */
  private static final double MAX_WORK_RATIO = 8;

  /** Kinds are configured, so that there are few; more than this would be a fault elsewhere. */
  private static final int MAX_KINDS = 512;

  private static final class Mean {
    private double work;
    private double millis;
  }

  private final Map<String, Mean> kinds = new HashMap<>();

  void record(RequestProfile profile, double millis) {
    double observed = Math.max(0, millis);
    Mean mean = kinds.get(profile.kind());
    if (mean == null) {
      if (kinds.size() >= MAX_KINDS) {
        kinds.clear();
      }
      mean = new Mean();
      mean.work = profile.work();
      mean.millis = observed;
      kinds.put(profile.kind(), mean);
      return;
    }
    mean.work += SMOOTHING_FACTOR * (profile.work() - mean.work);
    mean.millis += SMOOTHING_FACTOR * (observed - mean.millis);
  }

  /** Returns the expected time for a request, ms. */
  double expectedMillis(RequestProfile profile) {
    Mean mean = kinds.get(profile.kind());
    if (mean == null) {
      return INITIAL_MILLIS + INITIAL_MILLIS_PER_WORK * profile.work();
    }
    return mean.millis * (1 - WORK_PART + WORK_PART * workRatio(mean, profile));
  }

  private static double workRatio(Mean mean, RequestProfile profile) {
    return Math.min(MAX_WORK_RATIO, profile.work() / mean.work);
  }

  /** Returns whether a request is much larger than others of its kind. */
  boolean isLarge(RequestProfile profile, double ratio) {
    Mean mean = kinds.get(profile.kind());
    return mean != null && profile.work() > ratio * mean.work;
  }
}

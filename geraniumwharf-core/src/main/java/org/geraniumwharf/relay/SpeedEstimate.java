package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * How much slower than expected one target works: the mean of the logarithms of measured to
 * expected times, in which old and numerous earlier samples count less. Tends to 1 without samples,
 * so that a target that was slow gets requests again, which show whether it has recovered. Not safe
 * for use by several threads.
 */
final class SpeedEstimate {

  /**
   * Time after which a sample counts a third. An instance with 8 requests/s and 63 targets gets a
   * sample of a target every 8 s.
   */
  private static final double FORGETTING_MILLIS = 8000;

  /** Weight of all earlier samples at most, so that a change shows within three requests. */
  private static final double MAX_EARLIER_WEIGHT = 2;

  /** Weight of the speed that the service has as a whole. */
  private static final double PRIOR_WEIGHT = 0.7;

  /** A single sample beyond this ratio says no more than one at it. */
  private static final double MAX_RATIO = 20;

  private double logSum;
  private double weight;
  private Instant recordedAt = Instant.MIN;

  /** Records a measured time relative to the expected one. */
  void record(double ratio, Instant now) {
    double bounded = Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
    double kept = remaining(now) * Math.min(1, MAX_EARLIER_WEIGHT / Math.max(weight, 1e-9));
    logSum = logSum * kept + Math.log(bounded);
    weight = weight * kept + 1;
    recordedAt = now;
  }

  /** Returns the factor by which the target is expected to be slower than its service. */
  double factor(Instant now) {
    if (weight == 0) {
      return 1;
    }
    double kept = remaining(now);
    return Math.exp(logSum * kept / (weight * kept + PRIOR_WEIGHT));
  }

  private double remaining(Instant now) {
    return weight == 0
        ? 0
        : Math.exp(-Math.max(0, Duration.between(recordedAt, now).toMillis()) / FORGETTING_MILLIS);
  }
}

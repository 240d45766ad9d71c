package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * How much slower than expected one target works: the mean of the logarithms of measured to
 * expected times, in which old samples count less. Two means are kept, one of few and one of many
 * samples; the second starts again from the first when they differ so much that chance does not
 * explain it, so that lasting differences are known precisely and large changes within few
 * requests. Tends to 1 without samples, so that a target that was slow gets requests again, which
 * show whether it has recovered. Not safe for use by several threads.
 */
final class SpeedEstimate {

  /** Weight of all earlier samples at most, in the means of few and of many samples. */
  private static final double FEW = 2;

  private static final double MANY = 30;

  /** Weight of the usual speed of the service, in samples. */
  private static final double PRIOR_WEIGHT = 2;

  /**
   * Difference of the means that shows that the speed has changed. Other requests of the moment
   * spread the logarithms of single samples by about 0.6, those of three by 0.35.
   */
  private static final double CHANGED_LOG = Math.log(2.2);

  /** A single sample beyond this ratio says no more than one at it. */
  private static final double MAX_RATIO = 20;

  private final double forgettingMillis;
  private double fewSum;
  private double fewWeight;
  private double manySum;
  private double manyWeight;
  private Instant recordedAt = Instant.EPOCH;

  private SpeedEstimate(Duration forgetting) {
    this.forgettingMillis = forgetting.toMillis();
  }

  /**
   * Creates the estimate of a target that was not measured yet.
   *
   * @param forgetting time after which a sample counts a third
   */
  static SpeedEstimate forgettingAfter(Duration forgetting) {
    return new SpeedEstimate(forgetting);
  }

  /** Returns a ratio within the bounds beyond which it says no more. */
  static double bounded(double ratio) {
    return Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
  }

  /**
   * Records the mean ratio of some measured times to the expected ones.
   *
   * @param weight number of the times; less than one for a time that says little
   */
  void record(double ratio, double weight, Instant now) {
    double log = Math.log(bounded(ratio)) * weight;
    double aged = remaining(now);
    double few = kept(fewWeight * aged, weight, FEW) * aged;
    fewSum = fewSum * few + log;
    fewWeight = fewWeight * few + weight;
    double many = kept(manyWeight * aged, weight, MANY) * aged;
    manySum = manySum * many + log;
    manyWeight = manyWeight * many + weight;
    recordedAt = now;
    if (Math.abs(mean(fewSum, fewWeight) - mean(manySum, manyWeight)) > CHANGED_LOG) {
      manySum = fewSum;
      manyWeight = fewWeight;
    }
  }

  private static double mean(double sum, double weight) {
    return sum / (weight + PRIOR_WEIGHT);
  }

  private static double kept(double earlier, double weight, double most) {
    double left = Math.max(0, most - Math.max(0, weight - 1));
    return earlier <= left ? 1 : left / earlier;
  }

  /** Returns the logarithm of the factor by which the target is expected to be slower. */
  double log(Instant now) {
    if (manyWeight == 0) {
      return 0;
    }
    double aged = remaining(now);
    return mean(manySum * aged, manyWeight * aged);
  }

  private double remaining(Instant now) {
    return Math.exp(-Math.max(0, Duration.between(recordedAt, now).toMillis()) / forgettingMillis);
  }
}

package org.geraniumwharf.relay;

/**
 * Times of a service, to which those of its targets are compared. Not safe for use by several
 * threads.
 */
final class ServiceTimes {

  private static final double INITIAL_MILLIS = 60;

  /** Share of one response in the mean. */
  private static final double STEP = 0.05;

  private static final double MIN_MILLIS = 1;

  /** Step of the median of logarithms towards a sample. */
  private static final double MEDIAN_STEP = 0.03;

  private double meanMillis = INITIAL_MILLIS;
  private double medianLog;

  void record(double millis) {
    meanMillis = Math.max(MIN_MILLIS, meanMillis + STEP * (millis - meanMillis));
  }

  /**
   * Records the ratio of the measured to the expected time to a first token, and returns it
   * relative to the usual ratio.
   */
  double recordRatio(double ratio) {
    double relative = relative(ratio);
    medianLog += MEDIAN_STEP * Math.signum(relative - 1);
    return relative;
  }

  /** Returns a ratio of measured to expected times relative to the usual one. */
  double relative(double ratio) {
    return ratio / Math.exp(medianLog);
  }

  /** Returns the mean time of the responses of a plain service, ms. */
  double meanMillis() {
    return meanMillis;
  }
}

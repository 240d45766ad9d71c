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

  /** Steps of the median of ratios towards a sample above and below it. */
  private static final double UP = 1.03;

  private static final double DOWN = 1 / UP;

  private double meanMillis = INITIAL_MILLIS;
  private double median = 1;

  void record(double millis) {
    meanMillis = Math.max(MIN_MILLIS, meanMillis + STEP * (millis - meanMillis));
  }

  /**
   * Records the ratio of the measured to the expected time to a first token, and returns it
   * relative to the usual ratio.
   */
  double recordRatio(double ratio) {
    double relative = relative(ratio);
    median *= relative > 1 ? UP : DOWN;
    return relative;
  }

  /** Returns a ratio of measured to expected times relative to the usual one. */
  double relative(double ratio) {
    return ratio / median;
  }

  /** Returns the mean time of the responses of a plain service, ms. */
  double meanMillis() {
    return meanMillis;
  }
}

package org.geraniumwharf.relay;

/** Mean time of the responses of a plain service. Not safe for use by several threads. */
final class ResponseTimes {

  private static final double INITIAL_MILLIS = 60;

  /** Share of one response in the mean. */
  private static final double STEP = 0.05;

  private static final double MIN_MILLIS = 1;

  private double meanMillis = INITIAL_MILLIS;

  void record(double millis) {
    meanMillis = Math.max(MIN_MILLIS, meanMillis + STEP * (millis - meanMillis));
  }

  double meanMillis() {
    return meanMillis;
  }
}

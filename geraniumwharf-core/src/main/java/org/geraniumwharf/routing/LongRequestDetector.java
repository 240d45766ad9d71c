package org.geraniumwharf.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Tracks the cost of recent requests and detects those far above the mean. Long is relative: a load
 * that consists of long contexts only has no long requests. Thread-safe; its lock is innermost.
 */
final class LongRequestDetector {

  private static final double LONG_FACTOR = 6;
  private static final double MEAN_DECAY = 0.99;
  private static final int MIN_SAMPLES = 50;
  private static final double LONG_MILLIS_GAIN = 0.2;
  private static final Duration LONG_REQUEST_WINDOW = Duration.ofSeconds(10);

  private long samples;
  private double meanTokens;
  private double meanLongMillis;
  private Instant lastLongRequestAt = Instant.MIN;

  private LongRequestDetector() {}

  static LongRequestDetector create() {
    return new LongRequestDetector();
  }

  /**
   * Records the cost of a request and returns whether it is long.
   *
   * @param tokens context tokens to compute
   * @param millis time to compute them, ms
   */
  synchronized boolean recordRequest(int tokens, double millis, Instant now) {
    boolean isLong = samples >= MIN_SAMPLES && tokens >= LONG_FACTOR * meanTokens;
    samples++;
    meanTokens += (tokens - meanTokens) * Math.max(1 - MEAN_DECAY, 1.0 / samples);
    if (isLong) {
      lastLongRequestAt = now;
      meanLongMillis += LONG_MILLIS_GAIN * (millis - meanLongMillis);
    }
    return isLong;
  }

  /**
   * Returns the time that a short request is expected to lose, at a target for long requests,
   * behind long requests that no report has shown yet, ms; 0 when there was no long request lately.
   */
  synchronized double unreportedDelayMillis(Instant now) {
    boolean isRecent = lastLongRequestAt.isAfter(now.minus(LONG_REQUEST_WINDOW));
    return isRecent ? meanLongMillis / 2 : 0;
  }
}

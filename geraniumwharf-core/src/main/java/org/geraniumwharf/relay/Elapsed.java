package org.geraniumwharf.relay;

import java.time.Instant;

/** Differences between times. Unlike {@code Duration}, they never overflow. */
final class Elapsed {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double NANOS_PER_MILLI = 1e6;

  private Elapsed() {}

  /** Returns the time from one instant to another, negative if it is earlier, ms. */
  static double millis(Instant from, Instant to) {
    return (to.getEpochSecond() - from.getEpochSecond()) * MILLIS_PER_SECOND
        + (to.getNano() - from.getNano()) / NANOS_PER_MILLI;
  }

  /** Returns the time from one instant to another, 0 if the clock went backwards, ms. */
  static double atLeastZeroMillis(Instant from, Instant to) {
    return Math.max(0, millis(from, to));
  }
}

package org.geraniumwharf.relay;

import java.time.Instant;

/**
 * Rate at which the targets of a service complete work of this instance. Handles requests of very
 * unlike sizes, whose number per second says little. Not thread-safe.
 */
final class WorkRate {

  /** Gap between ends that is assumed until some have been seen, ms. */
  private static final double INITIAL_GAP_MILLIS = 50;

  /** Weight of the newest end. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Longest gap that counts without requests that wait: there was no work then, ms. */
  private static final double MAX_IDLE_GAP_MILLIS = 1000;

  /** Longest gap that counts while requests wait, ms. */
  private static final double MAX_BUSY_GAP_MILLIS = 5000;

  private double meanWork;
  private double meanGapMillis = INITIAL_GAP_MILLIS;
  private Instant lastAt = Instant.MIN;

  /** Records a request that was offered; the first ones are all that is known of their work. */
  void recordOffered(double work) {
    if (meanWork == 0) {
      meanWork = work;
    }
  }

  /**
   * Records the end of a request.
   *
   * @param isAnyWaiting whether requests wait
   */
  void recordEnded(double work, boolean isAnyWaiting, Instant now) {
    double ended = RequestProfile.bounded(work);
    if (lastAt.equals(Instant.MIN)) {
      meanWork = ended;
    } else {
      meanGapMillis += SMOOTHING_FACTOR * (gap(isAnyWaiting, now) - meanGapMillis);
      meanWork += SMOOTHING_FACTOR * (ended - meanWork);
    }
    lastAt = now.isAfter(lastAt) ? now : lastAt;
  }

  private double gap(boolean isAnyWaiting, Instant now) {
    double gap = Elapsed.atLeastZeroMillis(lastAt, now);
    return Math.min(gap, isAnyWaiting ? MAX_BUSY_GAP_MILLIS : MAX_IDLE_GAP_MILLIS);
  }

  /** Returns the mean work of a request. */
  double meanWork() {
    return Math.max(RequestProfile.MIN_WORK, meanWork);
  }

  /**
   * Returns the time for an amount of work, ms. It grows when the next end is overdue.
   *
   * @param isAnyWaiting whether requests wait
   */
  double millis(double work, boolean isAnyWaiting, Instant now) {
    double gap = meanGapMillis;
    if (isAnyWaiting && !lastAt.equals(Instant.MIN)) {
      gap += SMOOTHING_FACTOR * Math.max(0, gap(true, now) - gap);
    }
    return work * gap / meanWork();
  }
}

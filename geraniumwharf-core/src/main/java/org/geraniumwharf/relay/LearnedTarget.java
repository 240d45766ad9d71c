package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * What an instance learns of one target. Takes the place of counts that are some hundred
 * milliseconds old: the requests of other instances are expected at their mean, from which the last
 * evidence differs the less the older it is. Not safe for use by several threads.
 */
final class LearnedTarget {

  /** Time constant of the mean of the reported requests; long against a report, short to a wave. */
  private static final double MEAN_MILLIS = 1000;

  /** Usual age of the figures of a report when it arrives: half a heartbeat and its way. */
  private static final double AGE_AT_ARRIVAL_MILLIS = 100;

  /** Consecutive refusals from which a target is ejected: it is not only full for a moment. */
  private static final int MAX_REFUSALS = 4;

  private static final double MIN_FULL_MILLIS = 2;
  private static final double MAX_FULL_MILLIS = 200;

  private final SpeedEstimate speed = new SpeedEstimate();
  private double reported;
  private double meanReported;
  private Instant reportedAt = Instant.MIN;
  private Instant refusedAt = Instant.MIN;
  private Instant fullUntil = Instant.MIN;
  private double atRefusal;
  private int refusals;

  SpeedEstimate speed() {
    return speed;
  }

  /** Records the requests that the other instances reported. */
  void recordReport(int requests, Instant now) {
    if (reportedAt.equals(Instant.MIN)) {
      meanReported = requests;
    } else {
      meanReported += (requests - meanReported) * (1 - remaining(reportedAt, now, MEAN_MILLIS));
    }
    reported = requests;
    reportedAt = now;
  }

  /**
   * Records that the target was full.
   *
   * @param others requests of other instances that it had then
   * @param slots requests that it runs at a time
   * @param responseMillis mean time of a response, ms
   * @return whether it refused too often to be full only
   */
  boolean recordRefusal(int others, int slots, double responseMillis, Instant now) {
    refusals++;
    atRefusal = others;
    refusedAt = now;
    double full = Math.max(MIN_FULL_MILLIS, Math.min(MAX_FULL_MILLIS, responseMillis / slots));
    fullUntil = now.plusNanos((long) (full * 1e6));
    return refusals >= MAX_REFUSALS;
  }

  void recordSuccess() {
    refusals = 0;
  }

  /**
   * Returns what is known of the target.
   *
   * @param own requests of this instance at the target
   * @param hasReport whether the last report is recent
   * @param responseMillis mean time of a response, ms, within which the requests change
   */
  LearnedLoad load(int own, boolean hasReport, double responseMillis, Instant now) {
    double mean = hasReport ? meanReported : 0;
    double others = mean;
    if (hasReport) {
      double kept = Math.exp(-AGE_AT_ARRIVAL_MILLIS / responseMillis);
      others += (reported - mean) * kept * remaining(reportedAt, now, responseMillis);
    }
    if (atRefusal > others) {
      others += (atRefusal - others) * remaining(refusedAt, now, responseMillis);
    }
    return new LearnedLoad(own, others, speed.factor(now), fullUntil);
  }

  private static double remaining(Instant since, Instant now, double constantMillis) {
    return since.equals(Instant.MIN)
        ? 0
        : Math.exp(-Math.max(0, Duration.between(since, now).toNanos() / 1e6) / constantMillis);
  }
}

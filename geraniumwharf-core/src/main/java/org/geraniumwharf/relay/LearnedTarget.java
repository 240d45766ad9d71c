package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.messages.TargetSpeed;

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

  /**
   * Time after which a measured time counts a third. An instance with 8 requests/s and 63 targets
   * measures a target every 8 s.
   */
  private static final Duration FORGETTING = Duration.ofSeconds(30);

  private static final double MIN_FULL_MILLIS = 2;
  private static final double MAX_FULL_MILLIS = 200;

  /** Time to a first token that says little, since requests of other instances may cause it, ms. */
  private static final double UNCERTAIN_MILLIS = 60;

  /** Time of a step of an engine and of the way, by which even the shortest first token varies. */
  private static final double STEP_MILLIS = 10;

  /**
   * Ratio of the time that a first token is awaited to the expected time that shows a slow target.
   */
  private static final double MIN_OVERDUE = 2;

  private final List<RelayLoadTable.InFlightRequest> awaited = new ArrayList<>();
  private final SpeedEstimate speed = SpeedEstimate.forgettingAfter(FORGETTING);
  private double reported;
  private double meanReported;
  private Instant reportedAt = Instant.MIN;
  private Instant refusedAt = Instant.MIN;
  private Instant fullUntil = Instant.MIN;
  private double atRefusal;
  private int refusals;
  private double unreportedWeight;
  private double unreportedLogSum;
  private double sharedLog;

  /** Records a generation whose first token is awaited. */
  void recordSent(RelayLoadTable.InFlightRequest sent) {
    awaited.add(sent);
  }

  void recordFirstToken(RelayLoadTable.InFlightRequest sent, Instant now) {
    awaited.remove(sent);
    recordRatio(sent.service().recordRatio(ratio(sent, now)), weight(sent), now);
  }

  /**
   * Records a measured time relative to the expected one.
   *
   * @param weight how much it says, up to one
   */
  void recordRatio(double ratio, double weight, Instant now) {
    speed.record(ratio, weight, now);
    addUnreported(ratio, weight);
  }

  private void addUnreported(double ratio, double weight) {
    unreportedWeight += weight;
    unreportedLogSum += Math.log(SpeedEstimate.bounded(ratio)) * weight;
  }

  /** Returns the times that were measured since this was asked last. */
  Optional<TargetSpeed> takeSpeed(String target, Instant now) {
    double overdue = overdue(now);
    if (overdue > MIN_OVERDUE) {
      addUnreported(overdue, weight(awaited.get(0)));
    }
    int tenths = (int) Math.round(unreportedWeight * 10);
    if (tenths == 0) {
      return Optional.empty();
    }
    double ratio = Math.exp(unreportedLogSum / unreportedWeight);
    TargetSpeed speeds = TargetSpeed.of(target, tenths, (int) Math.max(1, Math.round(100 * ratio)));
    unreportedWeight = 0;
    unreportedLogSum = 0;
    return Optional.of(speeds);
  }

  void clearSharedSpeed() {
    sharedLog = 0;
  }

  void setSharedSpeed(TargetSpeed shared) {
    sharedLog = Math.log(SpeedEstimate.bounded(shared.percent() / 100.0));
  }

  void recordGivenUp(RelayLoadTable.InFlightRequest sent) {
    awaited.remove(sent);
  }

  private static double ratio(RelayLoadTable.InFlightRequest sent, Instant now) {
    return (sent.elapsedMillis(now) + STEP_MILLIS) / (sent.expectedMillis() + STEP_MILLIS);
  }

  /** Returns how much the time of a request says; that of a short one depends on others. */
  private static double weight(RelayLoadTable.InFlightRequest sent) {
    return sent.expectedMillis() / (sent.expectedMillis() + UNCERTAIN_MILLIS);
  }

  /** Returns the factor by which the target is slower, or seems to be since it is overdue. */
  private double slowdown(boolean hasSharedSpeeds, Instant now) {
    double log = hasSharedSpeeds ? sharedLog : speed.log(now);
    double factor = log == 0 ? 1 : Math.exp(log);
    if (awaited.isEmpty()) {
      return factor;
    }
    double overdue = overdue(now);
    return overdue > MIN_OVERDUE ? Math.max(factor, overdue) : factor;
  }

  /**
   * Returns the work that the target has probably done for the requests of this instance whose
   * first token is awaited, ms of a target of usual speed. It does first what it had before.
   */
  double doneMillis(boolean hasSharedSpeeds, Instant now) {
    if (awaited.isEmpty()) {
      return 0;
    }
    double slowdown = slowdown(hasSharedSpeeds, now);
    double done = 0;
    for (RelayLoadTable.InFlightRequest sent : awaited) {
      done += sent.doneMillis(slowdown, now);
    }
    return done;
  }

  /** Returns the ratio of the time for which a first token is awaited to the expected time. */
  private double overdue(Instant now) {
    if (awaited.isEmpty()) {
      return 0;
    }
    RelayLoadTable.InFlightRequest oldest = awaited.get(0);
    return oldest.service().relative(ratio(oldest, now));
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

  /** Returns what is known of an engine. Nothing is created for one of usual speed. */
  LearnedLoad engineLoad(boolean hasSharedSpeeds, Instant now) {
    double slowdown = slowdown(hasSharedSpeeds, now);
    return slowdown == 1 ? LearnedLoad.NONE : new LearnedLoad(0, 0, slowdown, Instant.MIN);
  }

  /**
   * Returns what is known of a plain target.
   *
   * @param own requests of this instance at the target
   * @param hasReport whether the last report is recent
   * @param hasSharedSpeeds whether the speeds that all instances measured are recent
   * @param responseMillis mean time of a response, ms, within which the requests change
   */
  LearnedLoad plainLoad(
      int own, boolean hasReport, boolean hasSharedSpeeds, double responseMillis, Instant now) {
    double mean = hasReport ? meanReported : 0;
    double others = mean;
    if (hasReport) {
      double kept = Math.exp(-AGE_AT_ARRIVAL_MILLIS / responseMillis);
      others += (reported - mean) * kept * remaining(reportedAt, now, responseMillis);
    }
    if (atRefusal > others) {
      others += (atRefusal - others) * remaining(refusedAt, now, responseMillis);
    }
    return new LearnedLoad(own, others, slowdown(hasSharedSpeeds, now), fullUntil);
  }

  private static double remaining(Instant since, Instant now, double constantMillis) {
    return since.equals(Instant.MIN)
        ? 0
        : Math.exp(-Math.max(0, Duration.between(since, now).toNanos() / 1e6) / constantMillis);
  }
}

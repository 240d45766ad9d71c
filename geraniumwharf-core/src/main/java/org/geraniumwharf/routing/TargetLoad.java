package org.geraniumwharf.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadReport;

/**
 * What one daemon knows of the load and the health of one target: its own requests in flight, the
 * newest report of the target, and how both compare with what was expected. Not safe for use by
 * several threads.
 */
final class TargetLoad {

  private static final double MILLIS_PER_SECOND = 1000.0;
  private static final double SLOWNESS_GAIN = 0.3;
  private static final double MAX_SLOWNESS = 100;
  private static final double SLOT_TIME_GAIN = 0.1;
  private static final double INITIAL_SLOT_MILLIS = 500;
  private static final double MIN_EXPECTED_MILLIS = 20;
  private static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);
  private static final Duration SLOWNESS_HALF_LIFE = Duration.ofSeconds(5);
  private static final Duration BASE_EJECTION_TIME = Duration.ofSeconds(1);
  private static final int MAX_EJECTION_DOUBLINGS = 4;

  private final Map<String, Waiting> awaitingFirstToken = new HashMap<>();
  private int inFlight;
  private long recordStart;
  private long startedCountAtReport;
  private long pendingPrefillTokens;
  private double slowness = 1;
  private Instant slownessUpdatedAt = Instant.EPOCH;
  private double meanSlotMillis = INITIAL_SLOT_MILLIS;
  private int failures;
  private LoadReport report = LoadReport.of(0, 0, 0, 0, 0);
  private Instant reportedAt = Instant.EPOCH;

  void recordStart(String attempt, int tokens, Duration expected, Instant now) {
    inFlight++;
    recordStart++;
    pendingPrefillTokens += tokens;
    awaitingFirstToken.put(attempt, new Waiting(now, expectedMillis(expected)));
  }

  private static double expectedMillis(Duration expected) {
    return Math.max(MIN_EXPECTED_MILLIS, (double) expected.toMillis());
  }

  void recordFirstToken(
      String attempt, int tokens, Duration expected, Duration actual, Instant now) {
    awaitingFirstToken.remove(attempt);
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - tokens);
    double ratio =
        Math.min(MAX_SLOWNESS, Math.max(1, actual.toMillis() / expectedMillis(expected)));
    double current = decayedSlowness(now);
    slowness = current + SLOWNESS_GAIN * (ratio - current);
    slownessUpdatedAt = now;
  }

  void recordAbandonedBeforeFirstToken(String attempt, int tokens) {
    awaitingFirstToken.remove(attempt);
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - tokens);
  }

  void recordFinish(Duration occupied) {
    inFlight = Math.max(0, inFlight - 1);
    meanSlotMillis += SLOT_TIME_GAIN * (occupied.toMillis() - meanSlotMillis);
  }

  void recordSuccess() {
    failures = 0;
  }

  /** Counts a failure; from the threshold on it ejects the target until the time returned. */
  Optional<Instant> recordFailure(int threshold, Instant now) {
    failures++;
    if (failures < threshold) {
      return Optional.empty();
    }
    int doublings = Math.min(MAX_EJECTION_DOUBLINGS, failures - threshold);
    return Optional.of(now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings)));
  }

  /**
   * Takes a report.
   *
   * @return requests taken since the report before, if there was one
   */
  Optional<Taken> recordReport(LoadReport newer, Instant now) {
    if (newer.sequence() <= report.sequence()) {
      return Optional.empty();
    }
    Optional<Taken> accepted =
        report.sequence() == 0
            ? Optional.empty()
            : Optional.of(
                new Taken(
                    newer.accepted() - report.accepted(), recordStart - startedCountAtReport));
    report = newer;
    reportedAt = now;
    startedCountAtReport = recordStart;
    return accepted;
  }

  int inFlight() {
    return inFlight;
  }

  /**
   * Ratio of observed to expected time, at least 1. Requests that wait for their first token longer
   * than expected count before they end, so that a straggler shows within moments.
   */
  double slowness(Instant now) {
    double worst = decayedSlowness(now);
    for (Waiting request : awaitingFirstToken.values()) {
      double elapsed = Duration.between(request.since(), now).toMillis();
      worst = Math.max(worst, Math.min(MAX_SLOWNESS, elapsed / request.expectedMillis()));
    }
    return worst;
  }

  /** Halves towards 1 while nothing is observed. */
  private double decayedSlowness(Instant now) {
    double halves =
        (double) Duration.between(slownessUpdatedAt, now).toMillis()
            / SLOWNESS_HALF_LIFE.toMillis();
    return 1 + (slowness - 1) * Math.pow(0.5, Math.max(0, halves));
  }

  /**
   * Estimates the wait in the target's queue.
   *
   * @param shareFactor work of all daemons at the targets as a multiple of this daemon's own
   */
  double queueMillis(EngineProfile profile, double shareFactor, Instant now) {
    boolean isReportValid = now.isBefore(reportedAt.plus(REPORT_VALIDITY));
    double tokens =
        Math.max(
            pendingPrefillTokens * shareFactor, isReportValid ? (double) report.queuedTokens() : 0);
    double requests =
        Math.max(inFlight * shareFactor, isReportValid ? report.running() + report.queued() : 0);
    double excess = Math.max(0, requests - profile.slots() + 1);
    return prefillMillis(profile, tokens) + excess * meanSlotMillis / profile.slots();
  }

  static double prefillMillis(EngineProfile profile, double tokens) {
    return tokens * MILLIS_PER_SECOND / profile.prefillTokensPerSecond();
  }

  /** Requests that a target took, from all daemons and from this one. */
  record Taken(long fromAllDaemons, long fromThisDaemon) {}

  private record Waiting(Instant since, double expectedMillis) {}
}

package org.geraniumwharf.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadReport;

/**
 * The load and health of one target as observed by one daemon: its own requests in flight, the
 * newest load report of the target, and how its response times compare with the expected ones. Not
 * thread-safe.
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

  private final Map<String, PendingRequest> awaitingFirstToken = new HashMap<>();
  private int inFlight;
  private long startedCount;
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
    startedCount++;
    pendingPrefillTokens += tokens;
    awaitingFirstToken.put(attempt, new PendingRequest(now, expectedMillis(expected)));
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

  /**
   * Records a failure and, from {@code threshold} consecutive failures on, returns the time until
   * which the target is ejected. The ejection time doubles with each further failure, up to a
   * bound.
   */
  Optional<Instant> recordFailure(int threshold, Instant now) {
    failures++;
    if (failures < threshold) {
      return Optional.empty();
    }
    int doublings = Math.min(MAX_EJECTION_DOUBLINGS, failures - threshold);
    return Optional.of(now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings)));
  }

  /**
   * Applies a load report; one whose sequence is not newer is ignored.
   *
   * @return requests accepted since the previous report; empty without one
   */
  Optional<AcceptedRequests> recordReport(LoadReport newer, Instant now) {
    if (newer.sequence() <= report.sequence()) {
      return Optional.empty();
    }
    Optional<AcceptedRequests> accepted =
        report.sequence() == 0
            ? Optional.empty()
            : Optional.of(
                new AcceptedRequests(
                    newer.accepted() - report.accepted(), startedCount - startedCountAtReport));
    report = newer;
    reportedAt = now;
    startedCountAtReport = startedCount;
    return accepted;
  }

  int inFlight() {
    return inFlight;
  }

  /**
   * Returns the ratio of observed to expected time to the first token, at least 1. Requests that
   * have waited for it longer than expected count before they end, so that a straggler is detected
   * early.
   */
  double slowness(Instant now) {
    double worst = decayedSlowness(now);
    for (PendingRequest request : awaitingFirstToken.values()) {
      double elapsed = Duration.between(request.since(), now).toMillis();
      worst = Math.max(worst, Math.min(MAX_SLOWNESS, elapsed / request.expectedMillis()));
    }
    return worst;
  }

  /**
   * Returns the recorded slowness; its excess over 1 halves in each half-life without an update.
   */
  private double decayedSlowness(Instant now) {
    double halves =
        (double) Duration.between(slownessUpdatedAt, now).toMillis()
            / SLOWNESS_HALF_LIFE.toMillis();
    return 1 + (slowness - 1) * Math.pow(0.5, Math.max(0, halves));
  }

  /**
   * Estimates the wait in the target's queue, ms.
   *
   * @param shareFactor load of all daemons at the targets as a multiple of this daemon's own
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

  /** Requests that a target accepted between two reports, from all daemons and from this one. */
  record AcceptedRequests(long fromAllDaemons, long fromThisDaemon) {}

  private record PendingRequest(Instant since, double expectedMillis) {}
}

package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Counts the consecutive failures and rejections of one target and ejects it for a time that
 * doubles with each further one. While it is ejected for failures it may be probed with a request
 * after the shortest of these times. Not safe for use by several threads.
 */
final class TargetHealth {

  /**
   * Consecutive failures after which a target that still accepts connections is not yet ejected.
   */
  private static final int TOLERATED_FAILURES = 2;

  private static final Duration BASE_EJECTION_TIME = Duration.ofMillis(500);
  private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(4);
  private static final Duration BASE_BACKOFF = Duration.ofMillis(80);
  private static final int MAX_DOUBLINGS = 3;

  private int consecutiveFailures;
  private int consecutiveRejections;
  private Instant ejectedUntil = Instant.MIN;
  private Instant probeFrom = Instant.MIN;

  /** Records a success and returns whether it ended an ejection. */
  boolean recordSuccess() {
    boolean wasEjected = !ejectedUntil.equals(Instant.MIN);
    consecutiveFailures = 0;
    consecutiveRejections = 0;
    ejectedUntil = Instant.MIN;
    return wasEjected;
  }

  /**
   * Records a request that the target did not execute, for instance because it is full or loads new
   * weights, and starts a backoff.
   */
  void recordRejection(Instant now) {
    consecutiveRejections++;
    Duration pause =
        BASE_BACKOFF.multipliedBy(1L << Math.min(consecutiveRejections - 1, MAX_DOUBLINGS));
    ejectedUntil = now.plus(pause);
    probeFrom = ejectedUntil;
  }

  /** Records a request that failed at the target. */
  void recordFailure(Instant now) {
    consecutiveFailures++;
    if (consecutiveFailures > TOLERATED_FAILURES) {
      eject(consecutiveFailures - TOLERATED_FAILURES - 1, now);
    }
  }

  /** Records that no connection to the target could be established. */
  void recordUnreachable(Instant now) {
    consecutiveFailures++;
    eject(consecutiveFailures - 1, now);
  }

  private void eject(int doublings, Instant now) {
    Duration pause = BASE_EJECTION_TIME.multipliedBy(1L << Math.min(doublings, MAX_DOUBLINGS));
    ejectedUntil = now.plus(pause.compareTo(MAX_EJECTION_TIME) < 0 ? pause : MAX_EJECTION_TIME);
    probeFrom = now.plus(BASE_EJECTION_TIME);
  }

  /** Returns until when the target gets no requests; empty if it is not ejected. */
  Optional<Exclusion> exclusion(Instant now) {
    return now.isBefore(ejectedUntil)
        ? Exclusion.until(Exclusion.Reason.EJECTED, ejectedUntil)
        : Optional.empty();
  }

  /** Returns the time from which the target may be probed although it is ejected. */
  Instant probeFrom() {
    return probeFrom;
  }

  /** Returns whether the target may be probed although it is ejected. */
  boolean mayBeProbed(Instant now) {
    return !now.isBefore(probeFrom);
  }
}

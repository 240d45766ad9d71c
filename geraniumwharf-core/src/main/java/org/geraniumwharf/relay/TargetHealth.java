package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;

/** Failures of one target in a row, and the time until which it gets no work because of them. */
final class TargetHealth {

  /** Requests that may fail before a target that still accepts connections is left alone. */
  private static final int TOLERATED_FAILURES = 2;

  private static final Duration BASE_EJECTION_TIME = Duration.ofMillis(500);
  private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(4);
  private static final Duration BASE_BACKOFF = Duration.ofMillis(80);
  private static final int MAX_DOUBLINGS = 3;

  private int consecutiveFailures;
  private int consecutiveRejections;
  private Instant ejectedUntil = Instant.MIN;

  void recordSuccess() {
    consecutiveFailures = 0;
    consecutiveRejections = 0;
    ejectedUntil = Instant.MIN;
  }

  /** Notes a request that the target did not run, as while it is full or takes new weights. */
  void recordRejection(Instant now) {
    consecutiveRejections++;
    Duration rest =
        BASE_BACKOFF.multipliedBy(1L << Math.min(consecutiveRejections - 1, MAX_DOUBLINGS));
    ejectedUntil = now.plus(rest);
  }

  /** Notes a request that failed at the target. */
  void recordFailure(Instant now) {
    consecutiveFailures++;
    if (consecutiveFailures > TOLERATED_FAILURES) {
      eject(consecutiveFailures - TOLERATED_FAILURES - 1, now);
    }
  }

  /** Notes that the target could not be reached at all. */
  void recordUnreachable(Instant now) {
    consecutiveFailures++;
    eject(consecutiveFailures - 1, now);
  }

  private void eject(int doublings, Instant now) {
    Duration rest = BASE_EJECTION_TIME.multipliedBy(1L << Math.min(doublings, MAX_DOUBLINGS));
    ejectedUntil = now.plus(rest.compareTo(MAX_EJECTION_TIME) < 0 ? rest : MAX_EJECTION_TIME);
  }

  boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }
}

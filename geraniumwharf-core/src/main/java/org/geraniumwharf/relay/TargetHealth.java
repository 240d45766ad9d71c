package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;

/** Failures of one target in a row, and the time until which it gets no work because of them. */
final class TargetHealth {

  /** Requests that may fail before a target that still accepts connections is left alone. */
  private static final int TOLERATED_FAILURES = 2;

  private static final Duration FIRST_REST = Duration.ofMillis(500);
  private static final Duration LONGEST_REST = Duration.ofSeconds(4);
  private static final Duration REST_AFTER_REFUSAL = Duration.ofMillis(80);
  private static final int MAX_DOUBLINGS = 3;

  private int failures;
  private int refusals;
  private Instant restsUntil = Instant.MIN;

  void succeeded() {
    failures = 0;
    refusals = 0;
    restsUntil = Instant.MIN;
  }

  /** Notes a request that the target did not run, as while it is full or takes new weights. */
  void refused(Instant now) {
    refusals++;
    Duration rest = REST_AFTER_REFUSAL.multipliedBy(1L << Math.min(refusals - 1, MAX_DOUBLINGS));
    restsUntil = now.plus(rest);
  }

  /** Notes a request that failed at the target. */
  void failed(Instant now) {
    failures++;
    if (failures > TOLERATED_FAILURES) {
      rest(failures - TOLERATED_FAILURES - 1, now);
    }
  }

  /** Notes that the target could not be reached at all. */
  void unreachable(Instant now) {
    failures++;
    rest(failures - 1, now);
  }

  private void rest(int doublings, Instant now) {
    Duration rest = FIRST_REST.multipliedBy(1L << Math.min(doublings, MAX_DOUBLINGS));
    restsUntil = now.plus(rest.compareTo(LONGEST_REST) < 0 ? rest : LONGEST_REST);
  }

  boolean isResting(Instant now) {
    return now.isBefore(restsUntil);
  }
}

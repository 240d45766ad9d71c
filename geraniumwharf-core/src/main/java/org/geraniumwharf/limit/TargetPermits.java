package org.geraniumwharf.limit;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/**
 * What an entry instance knows of the limits of targets. Thread-safe; no other lock is acquired
 * while its lock is held.
 */
public final class TargetPermits {

  private final LimitTable limits = LimitTable.create();

  private TargetPermits() {}

  public static TargetPermits create() {
    return new TargetPermits();
  }

  /**
   * Records the limit that a target states in a response.
   *
   * @param statedFrom earliest time at which the response may have been formed
   * @return the change; empty if the limit was known
   */
  public synchronized Optional<TargetLimit> recordResponse(
      String target, long incarnation, RequestLimit limit, Instant statedFrom, Instant now) {
    return limits.recordResponse(target, incarnation, limit, statedFrom, now);
  }

  /** Removes the limits of targets that have not been announced for some time. */
  public synchronized void retainTargets(Set<String> announced, Instant now) {
    limits.retainTargets(announced, now);
  }
}

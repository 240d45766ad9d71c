package org.geraniumwharf.relay;

import java.time.Duration;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * Computes the delay after which a caller whose request was rejected should retry.
 *
 * <p>Spreads the retries after a load peak, which would otherwise arrive together and be rejected
 * again: each request gets a delay between once and twice the time after which capacity is
 * expected.
 */
public final class RetryAfter {

  /** A delay is at most the remaining time of the caller divided by this. */
  private static final int REMAINING_TIME_DIVISOR = 3;

  private RetryAfter() {}

  /**
   * Returns the delay before the next attempt. The same request always gets the same delay.
   *
   * @param requestId id of the rejected request, from which the jitter is derived
   * @param expected time after which capacity is expected
   * @param remaining time until the deadline of the caller
   */
  public static Duration jitteredDelay(String requestId, Duration expected, Duration remaining) {
    double jitterFactor = 1 + RendezvousHash.fraction(RendezvousHash.keyOf(requestId));
    Duration delay = Duration.ofMillis((long) (expected.toMillis() * jitterFactor));
    Duration bound = remaining.dividedBy(REMAINING_TIME_DIVISOR);
    return delay.compareTo(bound) < 0 ? delay : bound;
  }
}

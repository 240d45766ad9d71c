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

  /** Shortest delay, so that callers do not return before anything can have changed. */
  private static final Duration MIN_DELAY = Duration.ofMillis(20);

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

  /**
   * Returns the delay before the next attempt, spread also where the caller's time bounds it: a
   * common bound would make all callers of a long backlog return together.
   *
   * @param requestId id of the rejected request, from which the jitter is derived
   * @param expected time after which capacity is expected
   * @param remaining time until the deadline of the caller
   * @param service time that the request takes at a target
   */
  public static Duration spreadDelay(
      String requestId, Duration expected, Duration remaining, Duration service) {
    Duration from = later(expected, MIN_DELAY);
    Duration bound = earlier(remaining.dividedBy(REMAINING_TIME_DIVISOR), remaining.minus(service));
    Duration latest = later(Duration.ZERO, earlier(from.multipliedBy(2), bound));
    Duration earliest = earlier(from, latest.dividedBy(2));
    double fraction = RendezvousHash.fraction(RendezvousHash.keyOf(requestId));
    double spread = latest.minus(earliest).toMillis() * fraction;
    return earliest.plusMillis((long) spread);
  }

  private static Duration earlier(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}

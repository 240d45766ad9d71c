package org.geraniumwharf.relay;

import java.time.Duration;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * When a caller whose request was refused should come back.
 *
 * <p>Answers the refusals of one crest, which would return together and meet each other again: each
 * gets a time of its own between once and twice the time in which room is expected.
 */
public final class RetryAfter {

  /** A caller is told to use at most this part of the time that it has left. */
  private static final int REMAINING_TIME_DIVISOR = 3;

  private RetryAfter() {}

  /**
   * Returns the pause before the next attempt.
   *
   * @param requestId id of the refused request, which spreads equals
   * @param expected time in which room is expected
   * @param left time that the caller has left
   */
  public static Duration jitteredDelay(String requestId, Duration expected, Duration left) {
    double spread = 1 + RendezvousHash.fraction(RendezvousHash.keyOf(requestId));
    Duration drawn = Duration.ofMillis((long) (expected.toMillis() * spread));
    Duration bound = left.dividedBy(REMAINING_TIME_DIVISOR);
    return drawn.compareTo(bound) < 0 ? drawn : bound;
  }
}

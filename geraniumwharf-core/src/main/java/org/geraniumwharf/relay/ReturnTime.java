package org.geraniumwharf.relay;

import java.time.Duration;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * When a caller whose request was refused should come back.
 *
 * <p>Answers the refusals of one crest, which would return together and meet each other again: each
 * gets a time of its own between once and twice the time in which room is expected.
 */
public final class ReturnTime {

  /** A caller is told to use at most this part of the time that it has left. */
  private static final int PART_OF_LEFT = 3;

  private ReturnTime() {}

  /**
   * Returns the pause before the next attempt.
   *
   * @param requestId id of the refused request, which spreads equals
   * @param expected time in which room is expected
   * @param left time that the caller has left
   */
  public static Duration after(String requestId, Duration expected, Duration left) {
    double spread = 1 + RendezvousHash.fraction(RendezvousHash.keyOf(requestId));
    Duration drawn = Duration.ofMillis((long) (expected.toMillis() * spread));
    Duration bound = left.dividedBy(PART_OF_LEFT);
    return drawn.compareTo(bound) < 0 ? drawn : bound;
  }
}

package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether a response body without a length is complete after the target has ended its
 * output. A target that closes a connection with a part of the request unread ends its output and
 * resets the connection, in this order and shortly after one another, so the end alone proves
 * nothing while a part of the request may be unread.
 */
final class UnframedEnd {

  /**
   * Requests with larger bodies do not fit into the ten segments that TCP sends at first, so that a
   * target may have responded before the rest was on its way.
   */
  private static final int LONG_BODY_BYTES = 14_000;

  /**
   * Time for a reset to arrive: a round trip between data centres, and a busy target between the
   * end of its output and the close. On a busy machine 100 ms were too short once.
   */
  static final Duration RESET_WAIT = Duration.ofMillis(200);

  /** Time after the end within which the rest of the request must have been written. */
  static final Duration WRITE_WAIT = Duration.ofMillis(400);

  private final Instant endedAt;
  private final boolean isResetPossible;

  private UnframedEnd(Instant endedAt, boolean isResetPossible) {
    this.endedAt = endedAt;
    this.isResetPossible = isResetPossible;
  }

  /**
   * Creates a decision on a response whose body has ended with the output of the target.
   *
   * @param requestBytes size of the body of the request
   * @param isWrittenAtHead whether the request had been written when the head arrived
   */
  static UnframedEnd of(Instant endedAt, int requestBytes, boolean isWrittenAtHead) {
    return new UnframedEnd(endedAt, requestBytes > LONG_BODY_BYTES || !isWrittenAtHead);
  }

  /** What is known of the response. */
  enum Verdict {
    COMPLETE,
    UNDECIDED,
    /** The target reset the connection, so a part of the response may be lost. */
    RESET,
    /** The request was not written, so the target cannot have read it. */
    UNSENT
  }

  /**
   * Returns what is known at a time.
   *
   * @param isReset whether the connection has been reset
   * @param writtenAt time at which the request had been written to the socket; empty before
   */
  Verdict decide(boolean isReset, Optional<Instant> writtenAt, Instant now) {
    if (isReset) {
      return Verdict.RESET;
    }
    if (writtenAt.isEmpty()) {
      return now.isBefore(endedAt.plus(WRITE_WAIT)) ? Verdict.UNDECIDED : Verdict.UNSENT;
    }
    if (!isResetPossible) {
      return Verdict.COMPLETE;
    }
    Instant since = writtenAt.filter(endedAt::isBefore).orElse(endedAt);
    return now.isBefore(since.plus(RESET_WAIT)) ? Verdict.UNDECIDED : Verdict.COMPLETE;
  }
}

package org.geraniumwharf.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Time for which something was confirmed again and again without a gap, in its present stretch and
 * in all of them. Immutable.
 */
public final class ConfirmedTime {

  /** Time without a confirmation after which a stretch ends. */
  public static final Duration MAX_GAP = Duration.ofSeconds(2);

  private final Duration earlierStretches;
  private final Instant stretchStart;
  private final Instant last;

  private ConfirmedTime(Duration earlierStretches, Instant stretchStart, Instant last) {
    this.earlierStretches = earlierStretches;
    this.stretchStart = stretchStart;
    this.last = last;
  }

  /** Returns the time of a first confirmation. */
  public static ConfirmedTime startingAt(Instant first) {
    return new ConfirmedTime(Duration.ZERO, first, first);
  }

  /** Returns the time with one more confirmation; one before the last changes nothing. */
  public ConfirmedTime confirmed(Instant at) {
    return confirmed(at, Optional.empty());
  }

  /**
   * Returns the time with one more confirmation; one before the last changes nothing.
   *
   * @param expectedSince time from which on confirmations were to be expected, so that a gap in
   *     them counts from then; if empty, no gap counts
   */
  public ConfirmedTime confirmed(Instant at, Optional<Instant> expectedSince) {
    if (!at.isAfter(last)) {
      return this;
    }
    Instant gapStart = last.plus(MAX_GAP);
    Instant next = expectedSince.filter(at::isAfter).orElse(at);
    return at.isAfter(gapStart) && next.isAfter(last)
        ? new ConfirmedTime(total(at), next.isAfter(gapStart) ? next : gapStart, at)
        : new ConfirmedTime(earlierStretches, stretchStart, at);
  }

  /** Returns the time of the last confirmation. */
  public Instant last() {
    return last;
  }

  /** Returns whether there was no gap since the first confirmation. */
  public boolean isInFirstStretch() {
    return earlierStretches.isZero();
  }

  /** Returns the part of the present stretch that lies after a time. */
  public Duration inStretchSince(Instant from, Instant now) {
    Instant start = from.isAfter(stretchStart) ? from : stretchStart;
    Instant end = end(now);
    return end.isAfter(start) ? Duration.between(start, end) : Duration.ZERO;
  }

  /** Returns the length of all stretches. */
  public Duration total(Instant now) {
    return earlierStretches.plus(inStretchSince(stretchStart, now));
  }

  private Instant end(Instant now) {
    Instant latest = last.plus(MAX_GAP);
    return now.isBefore(latest) ? now : latest;
  }
}

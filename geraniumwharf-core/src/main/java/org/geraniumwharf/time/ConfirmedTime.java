package org.geraniumwharf.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Time for which something was confirmed again and again without a gap, in its present stretch and
 * in all of them. Time in which a confirmation was due may count too, see {@link #due}. Immutable.
 */
public final class ConfirmedTime {

  /** Time without a confirmation after which a stretch ends. */
  public static final Duration MAX_GAP = Duration.ofSeconds(2);

  private final Duration earlierStretches;
  private final Instant stretchStart;

  /** Time of the last confirmation, or until which one was due. */
  private final Instant countedTo;

  private final Instant last;
  private final Duration totalAtLast;

  private ConfirmedTime(
      Duration earlierStretches,
      Instant stretchStart,
      Instant countedTo,
      Instant last,
      Duration totalAtLast) {
    this.earlierStretches = earlierStretches;
    this.stretchStart = stretchStart;
    this.countedTo = countedTo;
    this.last = last;
    this.totalAtLast = totalAtLast;
  }

  /** Returns the time of a first confirmation. */
  public static ConfirmedTime startingAt(Instant first) {
    return new ConfirmedTime(Duration.ZERO, first, first, first, Duration.ZERO);
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
    ConfirmedTime counted = countedTo(at, expectedSince);
    return new ConfirmedTime(
        counted.earlierStretches, counted.stretchStart, counted.countedTo, at, counted.total(at));
  }

  /**
   * Returns the time with a moment at which a confirmation was due and none came. It counts like a
   * confirmation, but {@link #last} stays, since something newer may be unknown.
   *
   * @param expectedSince time from which on confirmations were to be expected
   */
  public ConfirmedTime due(Instant at, Instant expectedSince) {
    return at.isAfter(expectedSince) ? countedTo(at, Optional.of(expectedSince)) : this;
  }

  private ConfirmedTime countedTo(Instant at, Optional<Instant> expectedSince) {
    if (!at.isAfter(countedTo)) {
      return this;
    }
    Instant gapStart = countedTo.plus(MAX_GAP);
    Instant next = expectedSince.filter(at::isAfter).orElse(at);
    return at.isAfter(gapStart) && next.isAfter(countedTo)
        ? new ConfirmedTime(
            total(at), next.isAfter(gapStart) ? next : gapStart, at, last, totalAtLast)
        : new ConfirmedTime(earlierStretches, stretchStart, at, last, totalAtLast);
  }

  /** Returns the time of the last confirmation. */
  public Instant last() {
    return last;
  }

  /** Returns the length of all stretches at the last confirmation. */
  public Duration totalAtLast() {
    return totalAtLast;
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
    Instant latest = countedTo.plus(MAX_GAP);
    return now.isBefore(latest) ? now : latest;
  }
}

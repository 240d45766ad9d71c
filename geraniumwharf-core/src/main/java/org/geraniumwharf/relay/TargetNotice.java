package org.geraniumwharf.relay;

import java.time.Duration;
import java.util.Optional;
import org.geraniumwharf.limit.RequestLimit;

/**
 * What a target states in the head of a response about the requests that it wants from now on.
 *
 * @param isLeaving whether the target is about to stop
 * @param pause time in which the target wants no further requests from this instance
 * @param limit requests that the target takes from all instances; empty if the response leaves open
 *     whether it has a limit
 * @param coldFor time for which the target stays cold; zero if it does not say that it is cold
 */
public record TargetNotice(
    boolean isLeaving, Optional<Duration> pause, Optional<RequestLimit> limit, Duration coldFor) {

  /** Longest pause that is observed, so that one wrong value does not exclude a target for good. */
  static final Duration MAX_PAUSE = Duration.ofMinutes(2);

  private static final TargetNotice NONE =
      new TargetNotice(false, Optional.empty(), Optional.of(RequestLimit.none()), Duration.ZERO);

  /** Returns the notice of a response that says nothing about further requests. */
  public static TargetNotice none() {
    return NONE;
  }

  /** Creates a notice. A pause that is too long is shortened; one that is not positive is none. */
  public static TargetNotice of(boolean isLeaving, Optional<Duration> pause) {
    Optional<Duration> bounded =
        pause
            .filter(asked -> !asked.isNegative() && !asked.isZero())
            .map(asked -> asked.compareTo(MAX_PAUSE) < 0 ? asked : MAX_PAUSE);
    return new TargetNotice(isLeaving, bounded, NONE.limit, Duration.ZERO);
  }

  /** Returns a copy with a limit; it is empty if the response leaves open whether there is one. */
  public TargetNotice withLimit(Optional<RequestLimit> newLimit) {
    return new TargetNotice(isLeaving, pause, newLimit, coldFor);
  }

  /** Returns a copy with the time for which the target stays cold. */
  public TargetNotice withColdFor(Duration left) {
    return new TargetNotice(isLeaving, pause, limit, left);
  }

  /** Returns whether the target goes on accepting requests of this instance. */
  public boolean isOpen() {
    return !isLeaving && pause.isEmpty();
  }
}

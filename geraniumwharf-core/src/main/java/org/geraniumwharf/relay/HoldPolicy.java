package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides which requests an instance holds that has had no confirmed view since its start. Handles
 * the callers of a restart of all processes: each calls at most twice, so a refusal that comes
 * before the instance can serve costs it one of two chances. Immutable.
 */
public final class HoldPolicy {

  /** A quarter of the memory of the smallest instance's heap, where nothing else is held yet. */
  static final long MAX_BYTES = 16L << 20;

  /** Time after the start of a process within which it has a confirmed view in most restarts. */
  static final Duration EXPECTED_START = Duration.ofSeconds(2);

  /** Time until a confirmed view is expected when that is over. */
  static final Duration EXPECTED_LATER = Duration.ofMillis(300);

  /** Least time that a target needs for a request, which must be left when the view comes. */
  static final Duration SERVICE_TIME = Duration.ofMillis(100);

  /**
   * Longest time for which connections wait to be accepted for the first confirmed view. Reading
   * requests takes processor time from the parts that obtain the view, and most callers allow a
   * second until their request is read.
   */
  static final Duration MAX_ACCEPT_DELAY = Duration.ofMillis(900);

  /** Time for which a request is held whose caller does not say how long it waits. */
  static final Duration DEFAULT_HOLD = Duration.ofSeconds(5);

  private final int maxRequests;
  private final Instant startedAt;

  private HoldPolicy(int maxRequests, Instant startedAt) {
    this.maxRequests = maxRequests;
    this.startedAt = startedAt;
  }

  /**
   * Returns a policy.
   *
   * @param maxRequests most requests that are held at a time; 0 to hold none
   * @param startedAt start of the process
   */
  public static HoldPolicy of(int maxRequests, Instant startedAt) {
    return new HoldPolicy(maxRequests, startedAt);
  }

  /** Returns a policy that holds no request. */
  public static HoldPolicy none() {
    return of(0, Instant.EPOCH);
  }

  public boolean isEnabled() {
    return maxRequests > 0;
  }

  /**
   * Returns whether connections of callers may be accepted.
   *
   * @param isAwaitingFirstView whether the instance has had no confirmed view since its start
   * @param boundAt time since which connections may wait
   */
  public boolean mayAccept(boolean isAwaitingFirstView, Instant boundAt, Instant now) {
    return !isEnabled() || !isAwaitingFirstView || !now.isBefore(boundAt.plus(MAX_ACCEPT_DELAY));
  }

  /**
   * What becomes of a request.
   *
   * @param heldUntil time until which it is held; empty if it is refused
   * @param retryAfter time after which service is expected
   */
  public record Decision(Optional<Instant> heldUntil, Duration retryAfter) {}

  /**
   * Decides on a request.
   *
   * @param requests number of requests that are held
   * @param bytes size of their bodies
   * @param size size of the body of this request
   */
  public Decision decide(RelayRequest request, int requests, long bytes, int size, Instant now) {
    Duration expected = expectedWait(now);
    boolean isFull = requests >= maxRequests || bytes + size > MAX_BYTES;
    Instant latest =
        request
            .callerTimeout()
            .map(timeout -> request.arrivedAt().plus(timeout).minus(SERVICE_TIME))
            .orElse(now.plus(DEFAULT_HOLD));
    boolean isTooLate = now.plus(expected).isAfter(latest);
    return new Decision(isFull || isTooLate ? Optional.empty() : Optional.of(latest), expected);
  }

  /** Returns the time after which a confirmed view is expected. */
  public Duration expectedWait(Instant now) {
    Duration left = Duration.between(now, startedAt.plus(EXPECTED_START));
    return left.compareTo(EXPECTED_LATER) > 0 ? left : EXPECTED_LATER;
  }
}

package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.checks.Checks;

/**
 * Decides when a request may be dispatched: a bound on requests in flight, a fair and bounded queue
 * before it, a capped share for long work, and early refusal of what would miss its deadline. Not
 * safe for use by several threads.
 */
public final class AdmissionControl {

  private static final double LONG_REQUEST_SLOT_SHARE = 0.5;
  private static final double LONG_REQUEST_COST_TOKENS = 8192;
  private static final double RATE_SMOOTHING_FACTOR = 0.2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  private final int maxInFlight;
  private final int maxQueued;
  private final FairQueue queue = new FairQueue();
  private final Map<String, InFlightRequest> inFlight = new HashMap<>();
  private int longInFlight;
  private double slotTokensPerSecond;

  private AdmissionControl(int maxInFlight, int maxQueued) {
    this.maxInFlight = maxInFlight;
    this.maxQueued = maxQueued;
  }

  /**
   * Creates an idle control.
   *
   * @param maxInFlight most requests dispatched at once
   * @param maxQueued most requests that wait
   */
  public static AdmissionControl of(int maxInFlight, int maxQueued) {
    return new AdmissionControl(
        Checks.checkPositive(maxInFlight, "maxInFlight"),
        Checks.checkNotNegative(maxQueued, "maxQueued"));
  }

  /**
   * Offers a request.
   *
   * @return true when it may be dispatched now, false when it waits
   * @throws ServingException if it is refused; it has not run
   */
  public boolean offer(QueuedRequest request, Instant now) throws ServingException {
    if (queue.size() == 0 && canDispatch(request)) {
      markInFlight(request, now);
      return true;
    }
    Duration wait = expectedWait();
    if (queue.size() >= maxQueued) {
      throw ServingErrors.overloaded("the queue of this daemon is full", retryAfter(wait));
    }
    if (now.plus(wait).isAfter(request.deadline())) {
      throw ServingErrors.overloaded(
          "the expected wait of " + wait.toMillis() + " ms exceeds the deadline", retryAfter(wait));
    }
    queue.add(request);
    return false;
  }

  /** Takes the next request that may be dispatched, if there is one. */
  public Optional<QueuedRequest> dispatchNext(Instant now) {
    if (inFlight.size() >= maxInFlight) {
      return Optional.empty();
    }
    Optional<QueuedRequest> next = queue.poll(this::canDispatch, now);
    next.ifPresent(request -> markInFlight(request, now));
    return next;
  }

  /** Ends a dispatched request. */
  public void complete(String id, Instant now) {
    InFlightRequest ended = inFlight.remove(id);
    if (ended == null) {
      return;
    }
    if (isLong(ended.request())) {
      longInFlight--;
    }
    updateSlotRate(ended, now);
  }

  /** Removes a request that no longer waits, such as one whose caller hung up. */
  public void cancel(QueuedRequest request) {
    queue.remove(request);
  }

  public int queued() {
    return queue.size();
  }

  public int inFlight() {
    return inFlight.size();
  }

  private boolean canDispatch(QueuedRequest request) {
    boolean hasLongRequestSlot =
        longInFlight < Math.max(1, (int) (maxInFlight * LONG_REQUEST_SLOT_SHARE));
    return inFlight.size() < maxInFlight && (!isLong(request) || hasLongRequestSlot);
  }

  private void markInFlight(QueuedRequest request, Instant now) {
    inFlight.put(request.id(), new InFlightRequest(request, now));
    if (isLong(request)) {
      longInFlight++;
    }
  }

  private static boolean isLong(QueuedRequest request) {
    return request.cost() >= LONG_REQUEST_COST_TOKENS;
  }

  /** Measures the work that one slot does while it is held, so that idle time does not count. */
  private void updateSlotRate(InFlightRequest ended, Instant now) {
    double heldNanos = Math.max(1, Duration.between(ended.dispatchedAt(), now).toNanos());
    double rate = ended.request().cost() * NANOS_PER_SECOND / heldNanos;
    slotTokensPerSecond =
        slotTokensPerSecond == 0
            ? rate
            : slotTokensPerSecond + RATE_SMOOTHING_FACTOR * (rate - slotTokensPerSecond);
  }

  private Duration expectedWait() {
    if (slotTokensPerSecond <= 0) {
      return Duration.ZERO;
    }
    double seconds = queue.totalCost() / (slotTokensPerSecond * maxInFlight);
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }

  private static Duration retryAfter(Duration wait) {
    return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
  }

  private record InFlightRequest(QueuedRequest request, Instant dispatchedAt) {}
}

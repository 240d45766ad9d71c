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
 * Limits the requests in flight and queues the excess, fairly between organisations. Long requests
 * may take only part of the slots, so that short ones are not blocked behind them. A request is
 * rejected at once if the queue is full or its expected wait exceeds its deadline. Not thread-safe.
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
   * Creates an admission control without requests.
   *
   * @param maxInFlight maximum number of dispatched requests that have not completed
   * @param maxQueued maximum number of queued requests
   */
  public static AdmissionControl of(int maxInFlight, int maxQueued) {
    return new AdmissionControl(
        Checks.checkPositive(maxInFlight, "maxInFlight"),
        Checks.checkNotNegative(maxQueued, "maxQueued"));
  }

  /**
   * Dispatches or queues a request.
   *
   * @return true if the request is in flight from now on, false if it is queued
   * @throws ServingException if the request is rejected, as overloaded and not run
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

  /** Dequeues the next request that may be dispatched; it is in flight from now on. */
  public Optional<QueuedRequest> dispatchNext(Instant now) {
    if (inFlight.size() >= maxInFlight) {
      return Optional.empty();
    }
    Optional<QueuedRequest> next = queue.poll(this::canDispatch, now);
    next.ifPresent(request -> markInFlight(request, now));
    return next;
  }

  /** Frees the slot of a dispatched request. Unknown ids are ignored. */
  public void complete(String id, Instant now) {
    InFlightRequest completed = inFlight.remove(id);
    if (completed == null) {
      return;
    }
    if (isLong(completed.request())) {
      longInFlight--;
    }
    updateSlotRate(completed, now);
  }

  /** Removes a queued request whose caller disconnected or whose deadline passed. */
  public void cancel(QueuedRequest request) {
    queue.remove(request);
  }

  /** Returns the number of queued requests. */
  public int queued() {
    return queue.size();
  }

  /** Returns the number of dispatched requests that have not completed. */
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

  /** Updates the average throughput of a slot in use; idle time is not counted. */
  private void updateSlotRate(InFlightRequest completed, Instant now) {
    double heldNanos = Math.max(1, Duration.between(completed.dispatchedAt(), now).toNanos());
    double rate = completed.request().cost() * NANOS_PER_SECOND / heldNanos;
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

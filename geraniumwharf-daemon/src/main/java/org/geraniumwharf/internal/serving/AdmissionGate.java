package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.geraniumwharf.admission.AdmissionControl;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.admission.QueuedRequest;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;

/**
 * Blocks each request until admission control admits it. Thread-safe. Lock order: this gate's lock,
 * then the lock of the limiter; no other lock is taken under them.
 */
public final class AdmissionGate {

  private static final Duration MAX_QUEUE_WAIT = Duration.ofSeconds(10);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AdmissionControl control;
  private final OrganisationLimiter limiter;
  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final Map<String, Condition> waiting = new HashMap<>();

  private AdmissionGate(
      AdmissionControl control, OrganisationLimiter limiter, InstantSource clock) {
    this.control = control;
    this.limiter = limiter;
    this.clock = clock;
  }

  public static AdmissionGate create(
      AdmissionControl control, OrganisationLimiter limiter, InstantSource clock) {
    return new AdmissionGate(control, limiter, clock);
  }

  /** Holds a slot until it is closed. */
  public interface Permit extends AutoCloseable {

    @Override
    void close();
  }

  /**
   * Waits for a slot.
   *
   * @param tokens expected cost, in tokens
   * @throws ServingException if the request is rejected; it has not run
   */
  public Permit acquire(RequestContext request, int tokens) throws ServingException {
    Instant now = clock.instant();
    limiter.acquire(request.organisation(), tokens, now);
    try {
      awaitSlot(toQueuedRequest(request, tokens, now));
    } catch (ServingException e) {
      limiter.release(request.organisation());
      throw e;
    }
    return () -> release(request);
  }

  private static QueuedRequest toQueuedRequest(RequestContext request, int tokens, Instant now) {
    Instant latest = now.plus(MAX_QUEUE_WAIT);
    return QueuedRequest.of(
        request.id(),
        request.organisation().name(),
        request.organisation().weight(),
        tokens,
        now,
        request.deadline().isBefore(latest) ? request.deadline() : latest);
  }

  private void awaitSlot(QueuedRequest request) throws ServingException {
    lock.lock();
    try {
      if (control.offer(request, clock.instant())) {
        return;
      }
      Condition admitted = lock.newCondition();
      waiting.put(request.id(), admitted);
      awaitAdmission(request, admitted);
    } finally {
      lock.unlock();
    }
  }

  private void awaitAdmission(QueuedRequest request, Condition admitted) throws ServingException {
    try {
      while (waiting.containsKey(request.id())) {
        long left = Duration.between(clock.instant(), request.deadline()).toNanos();
        if (left <= 0) {
          withdraw(request);
          throw ServingErrors.overloaded("no place became free before the deadline", RETRY_AFTER);
        }
        admitted.awaitNanos(left);
      }
    } catch (InterruptedException e) {
      withdraw(request);
      Thread.currentThread().interrupt();
      throw ServingErrors.shuttingDown();
    }
  }

  private void withdraw(QueuedRequest request) {
    waiting.remove(request.id());
    control.cancel(request);
  }

  private void release(RequestContext request) {
    limiter.release(request.organisation());
    lock.lock();
    try {
      control.complete(request.id(), clock.instant());
      admitNext();
    } finally {
      lock.unlock();
    }
  }

  private void admitNext() {
    Instant now = clock.instant();
    Optional<QueuedRequest> next = control.dispatchNext(now);
    while (next.isPresent()) {
      Condition admitted = waiting.remove(next.get().id());
      if (admitted != null) {
        admitted.signal();
      }
      next = control.dispatchNext(now);
    }
  }

  public int inFlightOrQueued() {
    lock.lock();
    try {
      return control.inFlight() + control.queued();
    } finally {
      lock.unlock();
    }
  }
}

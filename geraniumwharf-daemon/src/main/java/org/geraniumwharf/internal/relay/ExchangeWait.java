package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.relay.Openings;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.RetryAfter;

/** Places the request of an exchange, and queues it while no target can take it. */
final class ExchangeWait {

  private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(400);

  /** Time until free capacity is expected, for a request that got no slot while it was queued. */
  private static final Duration QUEUE_TIMEOUT_RETRY_AFTER = Duration.ofMillis(700);

  private static final long QUEUE_RETRY_INTERVAL_MILLIS = 60;

  private final RelayExchange exchange;
  private Optional<RelayQueue.Entry<RelayExchange>> queueEntry = Optional.empty();

  /** The last decision if it found no target; empty if the request has to be decided again. */
  private Optional<QueuedDecision> lastDecision = Optional.empty();

  ExchangeWait(RelayExchange exchange) {
    this.exchange = exchange;
  }

  private RelayState relay() {
    return exchange.relay();
  }

  private ResolvedRequest request() {
    return exchange.request();
  }

  private boolean isQueued() {
    return !exchange.isDone() && queueEntry.isPresent();
  }

  void dispatchIfQueued() {
    if (isQueued()) {
      dispatch();
    }
  }

  /** Sends the request to a target, queues it or refuses it. */
  void dispatch() {
    Instant now = relay().now();
    Optional<ServingException> refusal = findRefusal(now);
    if (refusal.isPresent()) {
      exchange.end().reject(refusal.get());
      return;
    }
    RelayQueue<RelayExchange> queue = relay().queue(request());
    Optional<RelayPlacement.Decision> decision = decide(queue, now);
    Optional<RelayPlacement.Choice> choice = decision.flatMap(RelayPlacement.Decision::choice);
    if (choice.isEmpty() && exchange.stream().isStarted()) {
      choice = relay().chooseIncludingEjected(request(), exchange.calls().triedTargets(), now);
    }
    Optional<Permit> permit = choice.flatMap(chosen -> relay().takePermit(chosen.target(), now));
    if (permit.isPresent()) {
      leaveQueue();
      exchange.calls().send(choice.get(), permit.get(), now);
    } else if (queueEntry.isEmpty()) {
      enqueue(queue, now);
    } else if (lastDecision.isEmpty() || !decision.orElseThrow().isBusy()) {
      rejectIfTooLate(queueEntry.get(), now);
    }
  }

  /** Returns the error for a request that no target may get. */
  private Optional<ServingException> findRefusal(Instant now) {
    Optional<ServingException> quarantined = relay().findQuarantined(request(), now);
    if (quarantined.isPresent()) {
      return quarantined;
    }
    Optional<ServingException> outOfRegion = relay().findRegionRefusal(request());
    if (outOfRegion.isPresent()) {
      // An error that a repeat does not mend states no time.
      return outOfRegion.map(
          error ->
              error.retryAfter().isEmpty() ? error : error.withRetryAfter(noTargetRetryAfter(now)));
    }
    return relay()
        .findOverdue(request(), now)
        .map(overdue -> overdue.withRetryAfter(noTargetRetryAfter(now)));
  }

  /** Decides on a target; empty if the request has to wait behind others in any case. */
  private Optional<RelayPlacement.Decision> decide(RelayQueue<RelayExchange> queue, Instant now) {
    lastDecision = Optional.empty();
    if (queueEntry.isEmpty() && queue.mustQueue(request().priority(), request().footprint())) {
      return Optional.empty();
    }
    // Read before the decision, which then has to be repeated after any change during it.
    long changes = relay().changes();
    long ends = relay().load().ends();
    RelayPlacement.Decision decision =
        relay().decide(request(), exchange.calls().triedTargets(), now);
    if (decision.choice().isEmpty()) {
      lastDecision = Optional.of(new QueuedDecision(now, decision.changesAt(), changes, ends));
    }
    return Optional.of(decision);
  }

  // ---------------------------------------------------------------- the queue

  private void enqueue(RelayQueue<RelayExchange> queue, Instant now) {
    Openings openings = relay().openings(request(), exchange.calls().triedTargets(), now);
    Optional<Instant> opensAt = openings.opensAt();
    if (opensAt.isEmpty()) {
      exchange
          .end()
          .reject(
              ServingErrors.noTarget(request().route().name())
                  .withRetryAfter(noTargetRetryAfter(now)));
      return;
    }
    if (opensAt.get().isAfter(now.plus(RelayQueue.maxWait(request().deadline(), now)))) {
      recordRefusedAtLimit(openings);
      rejectOverloaded(Duration.between(now, opensAt.get()), now);
      return;
    }
    RelayQueue.Admission<RelayExchange> admission =
        queue.offer(
            exchange, request().priority(), request().footprint(), request().deadline(), now);
    queueEntry = admission.entry();
    if (queueEntry.isEmpty()) {
      rejectOverloaded(admission.expectedWait(), now);
      return;
    }
    if (opensAt.get().isAfter(now)) {
      relay().load().addWaiting(openings.waitable(), exchange.parsedRequest().id(), now);
    }
    Duration wait = Duration.between(now, queueEntry.get().expiresAt());
    var unused = exchange.schedule(this::queueTimedOut, wait);
    scheduleRetry();
  }

  /** Rejects a queued request that no target will take before it has to leave the queue. */
  private void rejectIfTooLate(RelayQueue.Entry<RelayExchange> queued, Instant now) {
    Openings openings = relay().openings(request(), exchange.calls().triedTargets(), now);
    Optional<Instant> earliest = openings.earliestAt();
    if (earliest.filter(time -> time.isAfter(queued.expiresAt())).isPresent()) {
      recordRefusedAtLimit(openings);
      rejectOverloaded(Duration.between(now, earliest.get()), now);
    }
  }

  private void recordRefusedAtLimit(Openings openings) {
    if (openings.isAtLimit()) {
      relay().metrics().requestRefusedAtLimit();
    }
  }

  /**
   * Dispatches a queued request periodically if its last decision may be outdated, since nothing
   * wakes it when the ejection or backoff of a target ends.
   */
  private void scheduleRetry() {
    var unused =
        exchange
            .loop()
            .schedule(this::retryIfChanged, QUEUE_RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void retryIfChanged() {
    if (!isQueued()) {
      return;
    }
    Instant now = relay().now();
    boolean isCurrent =
        lastDecision
            .filter(last -> !last.mayDiffer(now, relay().changes(), relay().load().ends()))
            .isPresent();
    if (!isCurrent) {
      dispatch();
    }
    scheduleRetry();
  }

  private void queueTimedOut() {
    if (isQueued()) {
      rejectOverloaded(QUEUE_TIMEOUT_RETRY_AFTER, relay().now());
    }
  }

  /** Leaves the queue if the request is in it. */
  void leaveQueue() {
    relay().load().permits().removeWaiting(exchange.parsedRequest().id());
    queueEntry.ifPresent(entry -> relay().queue(request()).remove(entry));
    queueEntry = Optional.empty();
  }

  // ----------------------------------------------------------------- refusals

  private void rejectOverloaded(Duration retryAfter, Instant now) {
    exchange.end().rejectOverloaded(retryAfter, exchange.remaining(now));
  }

  private Duration noTargetRetryAfter(Instant now) {
    return RetryAfter.jitteredDelay(
        exchange.parsedRequest().id(), NO_TARGET_RETRY_AFTER, exchange.remaining(now));
  }
}

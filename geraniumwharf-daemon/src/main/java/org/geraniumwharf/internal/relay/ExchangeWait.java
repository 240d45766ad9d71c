package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.DataCentreRegions;
import org.geraniumwharf.relay.Openings;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RequestProfile;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.RetryAfter;

/** Places the request of an exchange, and queues it while no target can take it. */
final class ExchangeWait {

  private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(400);

  /** Time until free capacity is expected, for a request that got no slot while it was queued. */
  private static final Duration QUEUE_TIMEOUT_RETRY_AFTER = Duration.ofMillis(700);

  private static final long QUEUE_RETRY_INTERVAL_MILLIS = 60;

  /** Time by which a timer may be early by the clock of the decisions, which may be set back. */
  private static final Duration TIMER_TOLERANCE = Duration.ofMillis(20);

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

  /** Dispatches the request again if it is queued and its last decision may be outdated. */
  void dispatchIfOutdated() {
    if (isQueued() && !isCurrent(relay().now())) {
      dispatch();
    }
  }

  /**
   * Refuses the request, unless it was sent or has ended since another one displaced it.
   *
   * @param sequence position in the order of arrival that it had when it was displaced; a request
   *     that was sent and queued again since has another one
   */
  void displaced(long sequence) {
    if (!isQueued() || queueEntry.get().sequence() != sequence) {
      return;
    }
    Instant now = relay().now();
    RelayQueue<RelayExchange> queue = relay().queue(request());
    relay()
        .log()
        .info(
            Event.of("request-displaced")
                .with("request", exchange.parsedRequest().id())
                .with("kind", request().route().name())
                .with("waitedMillis", waited(queueEntry.get(), now).toMillis())
                .with("queued", queue.size()));
    refuseOverloaded("displaced", Duration.ZERO, now);
  }

  /** A request that was sent before keeps its place, since its refusal could not be "not run". */
  private RequestProfile profile(Instant now) {
    RequestProfile profile = RequestProfile.of(request(), exchange.calls().sendCount() == 0);
    return exchange.stream().isStarted()
        ? profile.resumedAt(now, request().route().goalMillis())
        : profile;
  }

  private static Duration waited(RelayQueue.Entry<RelayExchange> entry, Instant now) {
    return Duration.between(entry.queuedAt(), now);
  }

  /** Sends the request to a target, queues it or refuses it. */
  void dispatch() {
    Instant now = relay().now();
    exchange.followIsolation();
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
      recordDispatched(queue, now);
      leaveQueue();
      exchange.calls().send(choice.get(), permit.get(), now);
    } else if (queueEntry.isEmpty()) {
      enqueue(queue, now);
    } else if (lastDecision.isEmpty() || !decision.orElseThrow().isBusy()) {
      rejectIfTooLate(queueEntry.get(), now);
    }
  }

  private void recordDispatched(RelayQueue<RelayExchange> queue, Instant now) {
    if (!relay().isQueueFair()) {
      return;
    }
    queue.recordDispatched(profile(now), now);
    queueEntry.ifPresent(
        entry -> relay().metrics().queueWaited(request().route().name(), waited(entry, now)));
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
        .or(() -> relay().findEvacuated(request()))
        .map(refusal -> refusal.withRetryAfter(noTargetRetryAfter(now)));
  }

  /** Decides on a target; empty if the request has to wait behind others in any case. */
  private Optional<RelayPlacement.Decision> decide(RelayQueue<RelayExchange> queue, Instant now) {
    lastDecision = Optional.empty();
    if (queueEntry.isEmpty() && isHeldUp(queue, now)) {
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

  private boolean isHeldUp(RelayQueue<RelayExchange> queue, Instant now) {
    return queue.size() > 0
        && queue.mustQueue(
            profile(now), now, other -> DataCentreRegions.covers(other.request(), request()));
  }

  // ---------------------------------------------------------------- the queue

  private void enqueue(RelayQueue<RelayExchange> queue, Instant now) {
    Openings openings = relay().openings(request(), exchange.calls().triedTargets(), now);
    Optional<Instant> opensAt = openings.opensAt();
    if (opensAt.isEmpty()) {
      rejectWithoutTarget(now);
      return;
    }
    if (openings.isCold()) {
      opensAt = Optional.of(relay().expectedAtCold(request(), openings, now));
    }
    RequestProfile profile = profile(now);
    if (opensAt.get().isAfter(queue.latestDispatch(profile, now))) {
      recordRefusedAtLimit(openings);
      refuseOverloaded("closed", Duration.between(now, opensAt.get()), now);
      return;
    }
    RelayQueue.Admission<RelayExchange> admission = queue.offer(exchange, profile, now);
    admission.displaced().forEach(entry -> entry.item().displaced(entry.sequence()));
    queueEntry = admission.entry();
    if (queueEntry.isEmpty()) {
      refuseOverloaded(admission.isFull() ? "full" : "too-late", admission.expectedWait(), now);
      return;
    }
    if (relay().isQueueFair()) {
      logQueued(queue, admission.expectedWait());
    }
    if (opensAt.get().isAfter(now)) {
      relay().load().addWaiting(openings.waitable(), exchange.parsedRequest().id(), now);
    }
    Duration wait = Duration.between(now, queueEntry.get().expiresAt());
    var unused = exchange.schedule(this::queueTimedOut, wait);
    scheduleRetry();
  }

  private void logQueued(RelayQueue<RelayExchange> queue, Duration expectedWait) {
    relay()
        .log()
        .info(
            Event.of("request-queued")
                .with("request", exchange.parsedRequest().id())
                .with("kind", request().route().name())
                .with("expectedMillis", expectedWait.toMillis())
                .with("queued", queue.size()));
  }

  /** Rejects a queued request that no target will take before it has to leave the queue. */
  private void rejectIfTooLate(RelayQueue.Entry<RelayExchange> queued, Instant now) {
    Openings openings = relay().openings(request(), exchange.calls().triedTargets(), now);
    if (openings.opensAt().isEmpty() && relay().isEvacuating()) {
      rejectWithoutTarget(now);
      return;
    }
    Optional<Instant> earliest = openings.earliestAt();
    if (earliest.filter(time -> time.isAfter(queued.expiresAt())).isPresent()) {
      recordRefusedAtLimit(openings);
      refuseOverloaded("closed", Duration.between(now, earliest.get()), now);
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
    if (!isCurrent(now)) {
      dispatchInOrder(now);
    }
    scheduleRetry();
  }

  private boolean isCurrent(Instant now) {
    return lastDecision
        .filter(last -> !last.mayDiffer(now, relay().changes(), relay().load().ends()))
        .isPresent();
  }

  /** Dispatches the request, with a fair queue after those that go first. */
  private void dispatchInOrder(Instant now) {
    if (relay().isQueueFair()) {
      relay().wakeOutdated(request(), now);
      exchange.wakeIfOutdated();
    } else {
      dispatch();
    }
  }

  private void queueTimedOut() {
    if (isQueued() && !isQueuedAgain(relay().now())) {
      refuseOverloaded("expired", QUEUE_TIMEOUT_RETRY_AFTER, relay().now());
    }
  }

  /** Returns whether the time that is over is that of an earlier stay in the queue. */
  private boolean isQueuedAgain(Instant now) {
    return relay().isQueueFair()
        && queueEntry.orElseThrow().expiresAt().isAfter(now.plus(TIMER_TOLERANCE));
  }

  /** Leaves the queue if the request is in it. */
  void leaveQueue() {
    relay().load().permits().removeWaiting(exchange.parsedRequest().id());
    queueEntry.ifPresent(entry -> relay().queue(request()).remove(entry));
    queueEntry = Optional.empty();
  }

  // ----------------------------------------------------------------- refusals

  private void rejectWithoutTarget(Instant now) {
    exchange
        .end()
        .reject(
            ServingErrors.noTarget(request().route().name())
                .withRetryAfter(noTargetRetryAfter(now)));
  }

  /**
   * Refuses the request.
   *
   * @param reason why it cannot wait, for the counter
   */
  private void refuseOverloaded(String reason, Duration retryAfter, Instant now) {
    if (relay().isQueueFair()) {
      relay().metrics().queueRefused(reason);
    }
    exchange.end().rejectOverloaded(retryAfter, exchange.remaining(now));
  }

  private Duration noTargetRetryAfter(Instant now) {
    return RetryAfter.jitteredDelay(
        exchange.parsedRequest().id(), NO_TARGET_RETRY_AFTER, exchange.remaining(now));
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.limit.RequestLimit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.RetryAfter;
import org.geraniumwharf.relay.TargetNotice;

/**
 * One request of a caller, from the time it is completely received to the end of its response.
 * Queues it, forwards it to a target and retries it at others. Confined to the event loop of the
 * caller's connection, except {@link #wakeFromQueue}.
 */
final class RelayExchange {

  /** Time after the deadline in which the target's own timeout response may still arrive. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(120);

  private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(400);
  private static final Duration REJECTED_RETRY_AFTER = Duration.ofMillis(250);

  /** Time until free capacity is expected, for a request that got no slot while it was queued. */
  private static final Duration QUEUE_TIMEOUT_RETRY_AFTER = Duration.ofMillis(700);

  private static final long QUEUE_RETRY_INTERVAL_MILLIS = 60;

  private final RelayState relay;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final FullHttpRequest httpRequest;
  private final RelayRequest parsedRequest;
  private final Set<String> triedTargets = new HashSet<>();
  private ResolvedRequest request;
  private RoutingSnapshot routing;
  private Optional<Duration> sinceViewConfirmed = Optional.empty();
  private int sendCount;
  private boolean isDone;
  private boolean isResponseStarted;
  private boolean mayHaveExecuted;
  private Optional<String> lastEventId = Optional.empty();
  private Optional<TargetCall> call = Optional.empty();
  private Optional<SentCall> lastSent = Optional.empty();
  private Optional<RelayQueue.Entry<RelayExchange>> queueEntry = Optional.empty();
  private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();
  private Instant startedAt = Instant.MIN;
  private Optional<Duration> drainingFor = Optional.empty();
  private Optional<Instant> sentAt = Optional.empty();
  private Optional<Instant> firstByteAt = Optional.empty();
  private Optional<Integer> status = Optional.empty();
  private String errorKind = "none";

  /** A call as it was when it was sent over a connection. */
  private record SentCall(
      TargetCall call, int earlierResponses, Duration connectionAge, int connectionPort) {

    private ExchangeLog.TargetResult result(RelayProtocol protocol) {
      return new ExchangeLog.TargetResult(
          call.head().map(head -> head.status().code()),
          call.head().flatMap(head -> protocol.receipt(head.headers())),
          earlierResponses,
          connectionAge,
          connectionPort);
    }
  }

  RelayExchange(
      RelayState relay,
      CallerConnection caller,
      EventLoop loop,
      FullHttpRequest httpRequest,
      RelayRequest parsedRequest) {
    this.relay = relay;
    this.caller = caller;
    this.loop = loop;
    this.httpRequest = httpRequest;
    this.parsedRequest = parsedRequest;
  }

  ResolvedRequest request() {
    return request;
  }

  RelayRequest parsedRequest() {
    return parsedRequest;
  }

  // ------------------------------------------------------------------ waiting

  void start() {
    Instant now = relay.now();
    startedAt = now;
    drainingFor = caller.drainingFor(now);
    routing = relay.admission().routing();
    sinceViewConfirmed = relay.admission().sinceViewConfirmed(now);
    relay.inFlight().incrementAndGet();
    relay.metrics().requestArrived();
    try {
      relay.admission().checkReady(parsedRequest, now);
    } catch (ServingException e) {
      holdOrReject(e, now);
      return;
    }
    startChecked(now);
  }

  /** Holds a request that arrived before the first confirmed view, if the settings allow it. */
  private void holdOrReject(ServingException notReady, Instant now) {
    if (!relay.holdPolicy().isEnabled() || !relay.admission().isAwaitingFirstView(now)) {
      reject(notReady);
      return;
    }
    int bytes = httpRequest.content().readableBytes();
    caller
        .heldRequests()
        .offer(this, bytes, now)
        .ifPresent(
            wait -> reject(relay.admission().withExpectedStart(notReady, parsedRequest, wait)));
  }

  /** Starts a request that was held, now that there is a confirmed view. */
  void startHeld() {
    if (isDone) {
      return;
    }
    Instant now = relay.now();
    sinceViewConfirmed = relay.admission().sinceViewConfirmed(now);
    try {
      relay.admission().checkReady(parsedRequest, now);
    } catch (ServingException e) {
      reject(e);
      return;
    }
    startChecked(now);
  }

  /** Refuses a request that was held for as long as its caller can wait. */
  void refuseHeld(Duration expectedWait) {
    if (!isDone) {
      ServingException notReady = ServingErrors.notReady("no view was confirmed in time");
      reject(relay.admission().withExpectedStart(notReady, parsedRequest, expectedWait));
    }
  }

  private void startChecked(Instant now) {
    try {
      routing = relay.admission().routing();
      request = RelayAdmission.resolve(parsedRequest, routing);
    } catch (ServingException e) {
      reject(e);
      return;
    }
    Duration remaining = Duration.between(now, request.deadline());
    if (remaining.isNegative() || remaining.isZero()) {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.ZERO);
      return;
    }
    relay.retryBudget(request).deposit();
    deadlineTimer = Optional.of(schedule(this::deadlineExceeded, remaining.plus(DEADLINE_GRACE)));
    dispatch();
  }

  private ScheduledFuture<?> schedule(Runnable task, Duration delay) {
    return loop.schedule(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Dispatches the request again if it is queued. May be called by any thread. */
  void wakeFromQueue() {
    loop.execute(
        () -> {
          if (!isDone && queueEntry.isPresent()) {
            dispatch();
          }
        });
  }

  private void dispatch() {
    Instant now = relay.now();
    Optional<ServingException> quarantined = relay.findQuarantined(request, now);
    if (quarantined.isPresent()) {
      reject(quarantined.get());
      return;
    }
    Optional<ServingException> overdue = relay.findOverdue(request, now);
    if (overdue.isPresent()) {
      Duration remaining = Duration.between(now, request.deadline());
      reject(overdue.get().withRetryAfter(noTargetRetryAfter(remaining)));
      return;
    }
    RelayQueue<RelayExchange> queue = relay.queue(request);
    boolean isDispatchable =
        queueEntry.isPresent() || !queue.mustQueue(request.priority(), request.footprint());
    Optional<RelayPlacement.Choice> choice =
        isDispatchable ? relay.choose(request, triedTargets, now) : Optional.empty();
    if (choice.isEmpty() && isResponseStarted) {
      choice = relay.chooseIncludingEjected(request, triedTargets, now);
    }
    Optional<Permit> permit = choice.flatMap(chosen -> relay.takePermit(chosen.target(), now));
    if (permit.isPresent()) {
      leaveQueue();
      send(choice.get(), permit.get(), now);
    } else if (queueEntry.isEmpty()) {
      enqueue(queue, now);
    } else {
      rejectIfTooLate(queueEntry.get(), now);
    }
  }

  /** Rejects a queued request that no target will take before it has to leave the queue. */
  private void rejectIfTooLate(RelayQueue.Entry<RelayExchange> queued, Instant now) {
    List<RelayTarget> untried = untriedTargets(now);
    Optional<Instant> earliest = relay.load().earliestAt(untried, now);
    if (earliest.filter(time -> time.isAfter(queued.expiresAt())).isPresent()) {
      relay.recordRefusedAtLimit(untried, now);
      rejectOverloaded(
          Duration.between(now, earliest.get()), Duration.between(now, request.deadline()));
    }
  }

  private List<RelayTarget> untriedTargets(Instant now) {
    return relay.admission().routing().targetsOf(request.service().name()).stream()
        .filter(target -> !triedTargets.contains(target.id()))
        .filter(target -> !relay.isOverdue(target, now))
        .toList();
  }

  private void enqueue(RelayQueue<RelayExchange> queue, Instant now) {
    Duration remaining = Duration.between(now, request.deadline());
    List<RelayTarget> untried = untriedTargets(now);
    Optional<Instant> opensAt = relay.load().opensAt(untried, parsedRequest.id(), now);
    if (opensAt.isEmpty()) {
      reject(
          ServingErrors.noTarget(request.route().name())
              .withRetryAfter(noTargetRetryAfter(remaining)));
      return;
    }
    if (opensAt.get().isAfter(now.plus(RelayQueue.maxWait(request.deadline(), now)))) {
      relay.recordRefusedAtLimit(untried, now);
      rejectOverloaded(Duration.between(now, opensAt.get()), remaining);
      return;
    }
    RelayQueue.Admission<RelayExchange> admission =
        queue.offer(this, request.priority(), request.footprint(), request.deadline(), now);
    queueEntry = admission.entry();
    if (queueEntry.isEmpty()) {
      rejectOverloaded(admission.expectedWait(), remaining);
      return;
    }
    if (opensAt.get().isAfter(now)) {
      relay.load().addWaiting(untried, parsedRequest.id(), now);
    }
    var unused = schedule(this::queueTimedOut, Duration.between(now, queueEntry.get().expiresAt()));
    scheduleQueueRetry();
  }

  private Duration noTargetRetryAfter(Duration remaining) {
    return RetryAfter.jitteredDelay(parsedRequest.id(), NO_TARGET_RETRY_AFTER, remaining);
  }

  /**
   * Dispatches a queued request periodically, since nothing wakes it when the ejection or backoff
   * of a target ends.
   */
  private void scheduleQueueRetry() {
    var unused =
        loop.schedule(
            () -> {
              if (!isDone && queueEntry.isPresent()) {
                dispatch();
                scheduleQueueRetry();
              }
            },
            QUEUE_RETRY_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void queueTimedOut() {
    if (!isDone && queueEntry.isPresent()) {
      rejectOverloaded(
          QUEUE_TIMEOUT_RETRY_AFTER, Duration.between(relay.now(), request.deadline()));
    }
  }

  private void rejectOverloaded(Duration retryAfter, Duration remaining) {
    reject(
        ServingErrors.overloaded(
            "every target of " + request.service().name() + " is busy",
            RetryAfter.jitteredDelay(parsedRequest.id(), retryAfter, remaining)));
  }

  private void leaveQueue() {
    relay.load().permits().removeWaiting(parsedRequest.id());
    queueEntry.ifPresent(waiting -> relay.queue(request).remove(waiting));
    queueEntry = Optional.empty();
  }

  // ------------------------------------------------------------------ sending

  private void send(RelayPlacement.Choice choice, Permit permit, Instant now) {
    RelayTarget target = choice.target();
    triedTargets.add(target.id());
    RelayLoadTable.InFlightRequest run =
        relay.load().recordSent(target, request, choice.firstTokenMillis());
    TargetCall next = new TargetCall(this, target, run, choice, permit);
    call = Optional.of(next);
    ExchangeLog.logDecision(relay, request, sendCount + 1, choice, now);
    InetSocketAddress address = ControlDirectory.parseAddress(target.address());
    caller
        .targetPool()
        .acquire(
            address,
            parsedRequest.id(),
            connection -> sendRequest(connection, next),
            cause -> connectFailed(next, cause));
  }

  private void sendRequest(TargetConnection connection, TargetCall next) {
    boolean isCurrent = call.filter(current -> current == next).isPresent();
    if (isDone || !isCurrent || !caller.isConnected()) {
      caller.targetPool().release(addressOf(next), connection);
      return;
    }
    Instant now = relay.now();
    Duration remaining = Duration.between(now, request.deadline());
    if (remaining.isNegative() || remaining.isZero()) {
      caller.targetPool().release(addressOf(next), connection);
      deadlineExceeded();
      return;
    }
    if (relay.load().isClosed(next.target(), now)
        || relay.isOverdue(next.target(), now)
        || !relay.load().permits().isValid(next.permit(), now)) {
      caller.targetPool().release(addressOf(next), connection);
      closedWhileConnecting(next);
      return;
    }
    sendCount++;
    sentAt = Optional.of(now);
    lastSent =
        Optional.of(
            new SentCall(
                next,
                connection.completedResponses(),
                connection.age(now),
                connection.localPort()));
    CacheTransfers transfers = relay.planTransfers(request, next.target());
    next.sent(connection, transfers, now);
    RelayProtocol.ForwardedRequest forwarded =
        new RelayProtocol.ForwardedRequest(
            request, next.target(), remaining, lastEventId, transfers);
    connection.send(
        TargetRequests.forward(relay.protocol(), httpRequest, forwarded), parsedRequest.id(), next);
  }

  /**
   * Places a request again whose target may get no more, or whose permit expired, while the
   * connection was opened.
   */
  private void closedWhileConnecting(TargetCall unsent) {
    triedTargets.remove(unsent.target().id());
    if (endCall(unsent)) {
      dispatch();
    }
  }

  private static InetSocketAddress addressOf(TargetCall endedCall) {
    return ControlDirectory.parseAddress(endedCall.target().address());
  }

  void releaseConnection(TargetCall endedCall, TargetConnection connection) {
    caller.targetPool().release(addressOf(endedCall), connection);
  }

  // ------------------------------------------------------ results of an attempt

  private void connectFailed(TargetCall endedCall, Throwable cause) {
    relay.load().recordUnreachable(endedCall.target().id(), relay.now());
    relay
        .log()
        .warn(
            Event.of("target-unreachable")
                .with("target", endedCall.target().id())
                .with("request", parsedRequest.id())
                .with("cause", cause.getMessage()));
    if (endCall(endedCall)) {
      dispatch();
    }
  }

  /**
   * Removes a call from the load table.
   *
   * @return false if the exchange is done or the call is no longer the current one
   */
  private boolean endCall(TargetCall endedCall) {
    if (call.filter(current -> current == endedCall).isEmpty()) {
      return false;
    }
    call = Optional.empty();
    Instant now = relay.now();
    if (!endedCall.isSent()) {
      relay.load().permits().giveBack(endedCall.permit());
    }
    relay.load().recordEnded(endedCall.run());
    relay.requestEnded(request, now);
    return !isDone;
  }

  /** Handles what a target states in the head of a response about further requests. */
  void noticeReceived(RelayTarget target, TargetNotice notice) {
    relay.recordNotice(target, notice, parsedRequest.id());
  }

  /**
   * Handles the limit that the response to a call states.
   *
   * @param statedFrom earliest time at which the response may have been formed
   */
  void limitStated(TargetCall from, RequestLimit limit, Instant statedFrom) {
    relay.recordLimit(from.target(), limit, statedFrom, parsedRequest.id());
  }

  void responseReceived(TargetCall endedCall, HttpResponse head, ByteBuf body) {
    relay.load().recordSuccess(endedCall.target().id());
    relay.recordSound(request);
    if (endCall(endedCall)) {
      finishWithResponse(head, body, "answered", endedCall);
    } else {
      body.release();
    }
  }

  /** Handles a response in which the target reports that it failed or rejected the request. */
  void errorResponseReceived(TargetCall endedCall, HttpResponse head, ByteBuf body) {
    relay.load().recordFailure(endedCall.target().id(), relay.now());
    mayHaveExecuted = true;
    if (!endCall(endedCall)) {
      body.release();
    } else if ((isResponseStarted || head.status().code() >= 500)
        && request.isRetryable()
        && tryAcquireRetry(0)) {
      body.release();
      retry(endedCall, "status " + head.status().code());
    } else if (isResponseStarted) {
      body.release();
      abort("status " + head.status().code() + " for the rest of the stream");
    } else {
      finishWithResponse(head, body, "failed", endedCall);
    }
  }

  /** Handles a response in which the target states that it did not execute the request. */
  void notExecuted(TargetCall endedCall, int status) {
    lastSent
        .filter(sent -> sent.call() == endedCall)
        .ifPresent(
            sent ->
                ExchangeLog.logRefusal(
                    relay.log(),
                    parsedRequest,
                    endedCall.target().id(),
                    sendCount,
                    sent.result(relay.protocol())));
    if (!endedCall.isTurnedAway()) {
      relay.load().recordRejection(endedCall.target().id(), relay.now());
    }
    if (!endCall(endedCall)) {
      return;
    }
    if (tryAcquireRetry(1)) {
      retry(endedCall, "not run, status " + status);
    } else {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.between(relay.now(), request.deadline()));
    }
  }

  /** Handles a closed connection or an invalid response; the request may have been executed. */
  void callFailed(TargetCall endedCall, String cause) {
    if (!endedCall.isTurnedAway()) {
      relay.load().recordFailure(endedCall.target().id(), relay.now());
    }
    mayHaveExecuted = true;
    if (!endCall(endedCall)) {
      return;
    }
    if (endedCall.isTurnedAway()) {
      retryOrFail(endedCall, cause, true);
      return;
    }
    relay
        .crashWatch(caller.targetPool(), loop)
        .callFailed(request, endedCall, mayRetry -> retryOrFail(endedCall, cause, mayRetry));
  }

  private void retryOrFail(TargetCall endedCall, String cause, boolean mayRetry) {
    if (isDone) {
      return;
    }
    if (mayRetry && request.isRetryable() && tryAcquireRetry(0)) {
      retry(endedCall, cause);
    } else if (isResponseStarted) {
      abort(cause);
    } else {
      finishAsFailed(ServingErrors.targetFailed(endedCall.target().id(), cause));
    }
  }

  /**
   * Returns whether the request may be sent to another target, and withdraws the retry from the
   * budget.
   *
   * @param extraSends sends beyond the maximum of the route, for one that was not executed
   */
  private boolean tryAcquireRetry(int extraSends) {
    boolean isBeforeDeadline = relay.now().isBefore(request.deadline());
    return isBeforeDeadline
        && sendCount < request.route().maxTargets() + extraSends
        && relay.retryBudget(request).tryWithdraw();
  }

  private void retry(TargetCall endedCall, String cause) {
    relay.metrics().retried();
    relay
        .log()
        .info(
            Event.of("relay-repeat")
                .with("request", parsedRequest.id())
                .with("target", endedCall.target().id())
                .with("cause", cause)
                .with("lastEvent", lastEventId.orElse("none")));
    dispatch();
  }

  // ------------------------------------------------------------------ streams

  /** Forwards a complete event of a stream, unless the caller has already received it. */
  void eventReceived(TargetCall from, HttpResponse head, EventStreamDecoder.StreamEvent event) {
    if (isDone) {
      return;
    }
    if (from.eventCount() == 1) {
      relay.load().recordFirstToken(from.run());
      from.estimate().ifPresent(sent -> relay.recordFirstToken(request, sent, relay.now()));
    }
    if (isAlreadySent(event)) {
      return;
    }
    if (!isResponseStarted) {
      isResponseStarted = true;
      firstByteAt = Optional.of(relay.now());
      status = Optional.of(head.status().code());
      relay.metrics().firstToken(Duration.between(parsedRequest.arrivedAt(), relay.now()));
      caller.startResponse(head.status(), relay.protocol().callerHeaders(head.headers()));
    }
    caller.write(event.bytes());
    event.id().ifPresent(id -> lastEventId = Optional.of(id));
  }

  private boolean isAlreadySent(EventStreamDecoder.StreamEvent event) {
    if (event.id().isEmpty() || lastEventId.isEmpty()) {
      return false;
    }
    try {
      return Long.parseLong(event.id().get()) <= Long.parseLong(lastEventId.get());
    } catch (NumberFormatException e) {
      return event.id().equals(lastEventId);
    }
  }

  void streamCompleted(TargetCall endedCall) {
    relay.load().recordSuccess(endedCall.target().id());
    if (!endCall(endedCall)) {
      return;
    }
    if (isResponseStarted) {
      relay.recordSound(request);
      finish("answered", endedCall.target().id(), "");
      caller.endResponse();
    } else {
      finishAsFailed(
          ServingErrors.targetFailed(endedCall.target().id(), "the stream has no event"));
    }
  }

  /** Stops reading from the target while the connection of the caller is not writable. */
  void writabilityChanged(boolean isWritable) {
    call.ifPresent(current -> current.setReading(isWritable));
  }

  // --------------------------------------------------------- end of the exchange

  void callerDisconnected() {
    if (!isDone) {
      relay.metrics().callerDisconnected(sentAt.isPresent());
      recordMissingFirstToken();
      String target = call.map(current -> current.target().id()).orElse("none");
      finish("caller-gone", target, "");
    }
  }

  /** Learns from a request that is given up without a first token that it took at least so long. */
  private void recordMissingFirstToken() {
    Instant now = relay.now();
    call.filter(current -> current.eventCount() == 0)
        .flatMap(TargetCall::estimate)
        .ifPresent(sent -> relay.recordFirstToken(request, sent, now));
  }

  /** Gives the request up because the process stops. */
  void instanceStopped() {
    if (isDone) {
      return;
    }
    if (isResponseStarted) {
      abort("the instance stopped");
    } else if (isPossiblyExecuted()) {
      finishAsFailed(ServingErrors.instanceStopped());
    } else {
      finishAsRefused(ServingErrors.shuttingDown());
    }
  }

  private void deadlineExceeded() {
    if (isDone) {
      return;
    }
    call.ifPresent(current -> relay.load().recordFailure(current.target().id(), relay.now()));
    recordMissingFirstToken();
    if (isResponseStarted) {
      abort("the time of the route is over");
    } else if (isPossiblyExecuted()) {
      finishAsFailed(ServingErrors.deadlineExceeded(request.route().timeoutMillis()));
    } else {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.ZERO);
    }
  }

  private boolean isPossiblyExecuted() {
    return mayHaveExecuted || call.filter(TargetCall::isSent).isPresent();
  }

  private void finishWithResponse(
      HttpResponse head, ByteBuf body, String outcome, TargetCall endedCall) {
    firstByteAt = Optional.of(relay.now());
    status = Optional.of(head.status().code());
    finish(outcome, endedCall.target().id(), "status " + head.status().code());
    caller.writeResponse(head.status(), relay.protocol().callerHeaders(head.headers()), body);
  }

  /**
   * Ends the exchange without a response of a target. The error states that the request has not
   * been executed, so it is returned only if no target may have executed it.
   */
  private void reject(ServingException error) {
    if (isResponseStarted) {
      abort(error.getMessage());
    } else if (mayHaveExecuted) {
      finishAsFailed(ServingErrors.targetFailed("every target that was tried", error.getMessage()));
    } else {
      finishAsRefused(error);
    }
  }

  private void finishAsRefused(ServingException error) {
    relay.metrics().requestRefused(error.kind());
    finishWithError(error, "refused");
  }

  private void finishAsFailed(ServingException error) {
    finishWithError(error, "failed");
  }

  private void finishWithError(ServingException error, String outcome) {
    relay.metrics().requestFailed(error.kind());
    status = Optional.of(error.kind().httpStatus());
    errorKind = error.kind().wireName();
    String target = call.map(current -> current.target().id()).orElse("none");
    finish(outcome, target, errorKind + ": " + error.getMessage());
    caller.writeError(parsedRequest, error);
  }

  /** Closes the connection of the caller, so that a partial response does not look complete. */
  private void abort(String cause) {
    finish("cut", call.map(current -> current.target().id()).orElse("none"), cause);
    caller.abort();
  }

  private void finish(String outcome, String target, String cause) {
    isDone = true;
    caller.heldRequests().remove(this);
    leaveQueueIfAdmitted();
    deadlineTimer.ifPresent(timer -> timer.cancel(false));
    call.ifPresent(
        current -> {
          endCall(current);
          current.cancel();
        });
    httpRequest.release();
    relay.inFlight().decrementAndGet();
    Instant now = relay.now();
    relay.metrics().requestEnded(Duration.between(parsedRequest.arrivedAt(), now));
    ExchangeLog.Result result =
        new ExchangeLog.Result(
            outcome,
            status,
            errorKind,
            decidedBy(),
            target,
            lastSent.map(sent -> sent.result(relay.protocol())),
            sendCount,
            startedAt,
            sentAt,
            firstByteAt,
            caller.connectionAge(startedAt),
            drainingFor,
            cause);
    ExchangeLog.logEnd(relay.log(), parsedRequest, Optional.ofNullable(request), result, now);
  }

  private ExchangeLog.DecidedBy decidedBy() {
    return new ExchangeLog.DecidedBy(
        routing.view().configuration().version(), routing.view().index(), sinceViewConfirmed);
  }

  private void leaveQueueIfAdmitted() {
    if (request != null) {
      leaveQueue();
    }
  }
}

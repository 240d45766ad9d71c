package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.RelayWork;
import org.geraniumwharf.relay.ReturnTime;

/**
 * One request of a caller from its last byte to the last byte of its answer. Confined to the event
 * loop of the caller's connection.
 */
final class RelayExchange {

  /** Time after the deadline in which the target's own answer to it may still arrive. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(120);

  private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofMillis(400);
  private static final Duration REJECTED_RETRY_AFTER = Duration.ofMillis(250);

  /** Time in which room is expected by a request that waited in vain. */
  private static final Duration QUEUE_TIMEOUT_RETRY_AFTER = Duration.ofMillis(700);

  private static final long QUEUE_RETRY_INTERVAL_MILLIS = 60;

  private final RelayState relay;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final FullHttpRequest httpRequest;
  private final RelayRequest parsedRequest;
  private final Set<String> triedTargets = new HashSet<>();
  private RelayWork request;
  private int sendCount;
  private boolean isDone;
  private boolean isResponseStarted;
  private boolean mayHaveExecuted;
  private Optional<String> lastEventId = Optional.empty();
  private Optional<TargetCall> call = Optional.empty();
  private Optional<RelayQueue.Waiting<RelayExchange>> queueEntry = Optional.empty();
  private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();
  private Optional<Instant> firstByteAt = Optional.empty();

  RelayExchange(
      RelayState front,
      CallerConnection caller,
      EventLoop loop,
      FullHttpRequest request,
      RelayRequest read) {
    this.relay = front;
    this.caller = caller;
    this.loop = loop;
    this.httpRequest = request;
    this.parsedRequest = read;
  }

  RelayWork request() {
    return request;
  }

  RelayRequest parsedRequest() {
    return parsedRequest;
  }

  // ------------------------------------------------------------------ waiting

  void start() {
    Instant now = relay.now();
    relay.inFlight().incrementAndGet();
    relay.metrics().requestArrived();
    try {
      request = relay.admission().admit(parsedRequest, now);
    } catch (ServingException e) {
      reject(e);
      return;
    }
    Duration left = Duration.between(now, request.deadline());
    if (left.isNegative() || left.isZero()) {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.ZERO);
      return;
    }
    relay.retryBudget(request).deposit();
    deadlineTimer = Optional.of(schedule(this::deadlineExceeded, left.plus(DEADLINE_GRACE)));
    dispatch();
  }

  private ScheduledFuture<?> schedule(Runnable task, Duration delay) {
    return loop.schedule(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Tries again for a place; called when one may have come free. */
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
    RelayQueue<RelayExchange> queue = relay.queue(request);
    boolean isTurn =
        queueEntry.isPresent() || !queue.mustWaitBehind(request.priority(), request.footprint());
    Optional<RelayPlacement.Choice> choice =
        isTurn ? relay.choose(request, triedTargets, now) : Optional.empty();
    if (choice.isEmpty() && isResponseStarted) {
      choice = relay.chooseIncludingEjected(request, triedTargets, now);
    }
    if (choice.isPresent()) {
      leaveQueue();
      send(choice.get(), now);
    } else if (queueEntry.isEmpty()) {
      enqueue(queue, now);
    }
  }

  private void enqueue(RelayQueue<RelayExchange> queue, Instant now) {
    Duration left = Duration.between(now, request.deadline());
    boolean isAnyLeft =
        relay.admission().routing().of(request.service().name()).stream()
            .anyMatch(target -> !triedTargets.contains(target.id()));
    if (!isAnyLeft) {
      reject(
          ServingErrors.noTarget(request.route().name())
              .withRetryAfter(ReturnTime.after(parsedRequest.id(), NO_TARGET_RETRY_AFTER, left)));
      return;
    }
    RelayQueue.Admission<RelayExchange> admission =
        queue.offer(this, request.priority(), request.footprint(), request.deadline(), now);
    queueEntry = admission.place();
    if (queueEntry.isEmpty()) {
      rejectOverloaded(admission.expectedWait(), left);
      return;
    }
    var unused = schedule(this::queueTimedOut, Duration.between(now, queueEntry.get().givesUpAt()));
    scheduleQueueRetry();
  }

  /** A place may also come free because a target's rest ends, which wakes nobody. */
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

  private void rejectOverloaded(Duration expected, Duration left) {
    reject(
        ServingErrors.overloaded(
            "every target of " + request.service().name() + " is busy",
            ReturnTime.after(parsedRequest.id(), expected, left)));
  }

  private void leaveQueue() {
    queueEntry.ifPresent(waiting -> relay.queue(request).remove(waiting));
    queueEntry = Optional.empty();
  }

  // ------------------------------------------------------------------ sending

  private void send(RelayPlacement.Choice choice, Instant now) {
    RelayTarget target = choice.target();
    triedTargets.add(target.id());
    RelayLoadTable.Run run = relay.load().sent(target, request, choice.firstTokenMillis());
    TargetCall next = new TargetCall(this, target, run);
    call = Optional.of(next);
    ExchangeLog.logDecision(relay, request, sendCount + 1, choice, now);
    InetSocketAddress address = ControlDirectory.parseAddress(target.address());
    caller
        .targetPool()
        .acquire(address, opened -> sendRequest(opened, next), cause -> connectFailed(next, cause));
  }

  private void sendRequest(TargetConnection opened, TargetCall next) {
    if (isDone || call.filter(current -> current == next).isEmpty()) {
      caller.targetPool().release(addressOf(next), opened);
      return;
    }
    Duration left = Duration.between(relay.now(), request.deadline());
    if (left.isNegative() || left.isZero()) {
      caller.targetPool().release(addressOf(next), opened);
      deadlineExceeded();
      return;
    }
    sendCount++;
    next.connected(opened);
    RelayProtocol.ForwardedRequest sending =
        new RelayProtocol.ForwardedRequest(
            request, next.target(), left, lastEventId, relay.transfers(request, next.target()));
    HttpHeaders headers = relay.protocol().targetHeaders(httpRequest.headers(), sending);
    ByteBuf body = httpRequest.content().retainedDuplicate();
    if (body.isReadable() || httpRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    opened.send(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            httpRequest.method(),
            httpRequest.uri(),
            body,
            headers,
            EmptyHttpHeaders.INSTANCE),
        parsedRequest.id(),
        next);
  }

  private static InetSocketAddress addressOf(TargetCall ended) {
    return ControlDirectory.parseAddress(ended.target().address());
  }

  void releaseConnection(TargetCall ended, TargetConnection connection) {
    caller.targetPool().release(addressOf(ended), connection);
  }

  // ------------------------------------------------------- ends of one attempt

  private void connectFailed(TargetCall ended, Throwable cause) {
    relay.load().unreachable(ended.target().id(), relay.now());
    relay
        .log()
        .warn(
            Event.of("target-unreachable")
                .with("target", ended.target().id())
                .with("request", parsedRequest.id())
                .with("cause", cause.getMessage()));
    if (endCall(ended)) {
      dispatch();
    }
  }

  /** Ends the count of a call; false when the exchange is over or has gone on without it. */
  private boolean endCall(TargetCall ended) {
    if (call.filter(current -> current == ended).isEmpty()) {
      return false;
    }
    call = Optional.empty();
    Instant now = relay.now();
    relay.load().ended(ended.run());
    relay.requestEnded(request, now);
    return !isDone;
  }

  void responseReceived(TargetCall ended, HttpResponse head, ByteBuf body) {
    relay.load().succeeded(ended.target().id());
    if (endCall(ended)) {
      finishWithResponse(head, body, "answered", ended);
    } else {
      body.release();
    }
  }

  /** The target ran the request and failed. */
  void errorResponseReceived(TargetCall ended, HttpResponse head, ByteBuf body) {
    relay.load().failed(ended.target().id(), relay.now());
    mayHaveExecuted = true;
    if (!endCall(ended)) {
      body.release();
    } else if (head.status().code() >= 500 && request.isRepeatable() && tryAcquireRetry(0)) {
      body.release();
      retry(ended, "status " + head.status().code());
    } else {
      finishWithResponse(head, body, "failed", ended);
    }
  }

  /** The target says that it did not run the request. */
  void notExecuted(TargetCall ended, int status) {
    relay.load().refused(ended.target().id(), relay.now());
    if (!endCall(ended)) {
      return;
    }
    if (tryAcquireRetry(1)) {
      retry(ended, "not run, status " + status);
    } else {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.between(relay.now(), request.deadline()));
    }
  }

  /** The connection ended or the answer was no answer; the request may have run. */
  void callFailed(TargetCall ended, String cause) {
    relay.load().failed(ended.target().id(), relay.now());
    mayHaveExecuted = true;
    if (!endCall(ended)) {
      return;
    }
    if (request.isRepeatable() && tryAcquireRetry(0)) {
      retry(ended, cause);
    } else if (isResponseStarted) {
      abort(cause);
    } else {
      finishAsFailed(ServingErrors.targetFailed(ended.target().id(), cause));
    }
  }

  /**
   * Tells whether the request may be sent once more, and takes that from the budget.
   *
   * @param beyond sends that did not run and do not count against the route's bound
   */
  private boolean tryAcquireRetry(int beyond) {
    boolean isTimeLeft = relay.now().isBefore(request.deadline());
    return isTimeLeft
        && sendCount < request.route().maxTargets() + beyond
        && relay.retryBudget(request).tryWithdraw();
  }

  private void retry(TargetCall ended, String cause) {
    relay.metrics().retried();
    relay
        .log()
        .info(
            Event.of("relay-repeat")
                .with("request", parsedRequest.id())
                .with("target", ended.target().id())
                .with("cause", cause)
                .with("lastEvent", lastEventId.orElse("none")));
    dispatch();
  }

  // ------------------------------------------------------------------ streams

  /** Takes a whole event of a stream; one that the caller already has is dropped. */
  void eventReceived(TargetCall from, HttpResponse head, EventStreamDecoder.StreamEvent event) {
    if (isDone) {
      return;
    }
    relay.load().answering(from.run());
    if (isAlreadySent(event)) {
      return;
    }
    if (!isResponseStarted) {
      isResponseStarted = true;
      firstByteAt = Optional.of(relay.now());
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

  void streamCompleted(TargetCall ended) {
    relay.load().succeeded(ended.target().id());
    if (!endCall(ended)) {
      return;
    }
    if (isResponseStarted) {
      finish("answered", ended.target().id(), "");
      caller.endResponse();
    } else {
      finishAsFailed(ServingErrors.targetFailed(ended.target().id(), "the stream has no event"));
    }
  }

  /** The caller's connection can take more bytes, or cannot. */
  void writabilityChanged(boolean isWritable) {
    call.ifPresent(current -> current.setReading(isWritable));
  }

  // --------------------------------------------------------------- final ends

  void callerDisconnected() {
    if (!isDone) {
      String target = call.map(current -> current.target().id()).orElse("none");
      finish("caller-gone", target, "");
    }
  }

  private void deadlineExceeded() {
    if (isDone) {
      return;
    }
    call.ifPresent(current -> relay.load().failed(current.target().id(), relay.now()));
    if (isResponseStarted) {
      abort("the time of the route is over");
    } else if (mayHaveExecuted || call.filter(TargetCall::isSent).isPresent()) {
      finishAsFailed(ServingErrors.deadlineExceeded(request.route().timeoutMillis()));
    } else {
      rejectOverloaded(REJECTED_RETRY_AFTER, Duration.ZERO);
    }
  }

  private void finishWithResponse(
      HttpResponse head, ByteBuf body, String outcome, TargetCall ended) {
    firstByteAt = Optional.of(relay.now());
    finish(outcome, ended.target().id(), "status " + head.status().code());
    caller.writeResponse(head.status(), relay.protocol().callerHeaders(head.headers()), body);
  }

  /**
   * Gives the request up. The error says that it has not run, which holds only if no target may
   * have run it.
   */
  private void reject(ServingException error) {
    if (isResponseStarted) {
      abort(error.getMessage());
    } else if (mayHaveExecuted) {
      finishAsFailed(ServingErrors.targetFailed("every target that was tried", error.getMessage()));
    } else {
      finishWithError(error, "refused");
    }
  }

  private void finishAsFailed(ServingException error) {
    finishWithError(error, "failed");
  }

  private void finishWithError(ServingException error, String outcome) {
    relay.metrics().requestFailed(error.kind());
    String target = call.map(current -> current.target().id()).orElse("none");
    finish(outcome, target, error.kind().wireName() + ": " + error.getMessage());
    caller.writeError(parsedRequest, error);
  }

  /** Ends an answer that cannot be completed, so that it does not look complete. */
  private void abort(String cause) {
    finish("cut", call.map(current -> current.target().id()).orElse("none"), cause);
    caller.abort();
  }

  private void finish(String outcome, String target, String cause) {
    isDone = true;
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
    ExchangeLog.Result end = new ExchangeLog.Result(outcome, target, sendCount, firstByteAt, cause);
    ExchangeLog.logEnd(relay.log(), parsedRequest, Optional.ofNullable(request), end, now);
  }

  private void leaveQueueIfAdmitted() {
    if (request != null) {
      leaveQueue();
    }
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.limit.RequestLimit;
import org.geraniumwharf.relay.CacheSharing;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.TargetNotice;

/**
 * One request of a caller, from the time it is completely received to the end of its response.
 * Holds what the parts of the exchange share: the wait for a target, the calls to targets, their
 * results, the stream to the caller and the end. Confined to the event loop of the caller's
 * connection, except {@link #wakeFromQueue}.
 */
final class RelayExchange {

  /** Time after the deadline in which the target's own timeout response may still arrive. */
  private static final Duration DEADLINE_GRACE = Duration.ofMillis(120);

  private final RelayState relay;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final FullHttpRequest httpRequest;
  private final RelayRequest parsedRequest;
  private final ExchangeWait waiting = new ExchangeWait(this);
  private final ExchangeCalls calls = new ExchangeCalls(this);
  private final ExchangeResults results = new ExchangeResults(this);
  private final ExchangeStream stream = new ExchangeStream(this);
  private final ExchangeEnd end = new ExchangeEnd(this);
  private Optional<ResolvedRequest> request = Optional.empty();
  private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();

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

  RelayState relay() {
    return relay;
  }

  CallerConnection caller() {
    return caller;
  }

  EventLoop loop() {
    return loop;
  }

  FullHttpRequest httpRequest() {
    return httpRequest;
  }

  RelayRequest parsedRequest() {
    return parsedRequest;
  }

  /** Returns the request as it was admitted; to be called after its admission only. */
  ResolvedRequest request() {
    return request.orElseThrow();
  }

  /** Returns the request as it was admitted; empty if it was not. */
  Optional<ResolvedRequest> admitted() {
    return request;
  }

  /**
   * Lets the request keep apart from those who were isolated since it arrived. To be called before
   * a decision and before a send, between which a configuration may come into force.
   */
  void followIsolation() {
    CacheSharing newest = relay.admission().routing().table().sharing();
    request = request.map(admitted -> admitted.sharingAlsoBy(newest));
  }

  /** Returns the crash watch of the targets of this exchange. */
  CrashWatch crashWatch() {
    return relay.crashWatch(caller.targetPool(), loop);
  }

  ExchangeWait waiting() {
    return waiting;
  }

  ExchangeCalls calls() {
    return calls;
  }

  ExchangeStream stream() {
    return stream;
  }

  ExchangeEnd end() {
    return end;
  }

  boolean isDone() {
    return end.isDone();
  }

  /** Returns the time until the deadline of the request. */
  Duration remaining(Instant now) {
    return Duration.between(now, request().deadline());
  }

  ScheduledFuture<?> schedule(Runnable task, Duration delay) {
    return loop.schedule(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  // ------------------------------------------------------------ of the caller

  void start() {
    Instant now = relay.now();
    end.started(now);
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
      end.reject(notReady);
      return;
    }
    int bytes = httpRequest.content().readableBytes();
    caller
        .heldRequests()
        .offer(this, bytes, now)
        .ifPresent(
            wait -> end.reject(relay.admission().withExpectedStart(notReady, parsedRequest, wait)));
  }

  /** Starts a request that was held, now that there is a confirmed view. */
  void startHeld() {
    if (isDone()) {
      return;
    }
    Instant now = relay.now();
    end.startedAgain(now);
    try {
      relay.admission().checkReady(parsedRequest, now);
    } catch (ServingException e) {
      end.reject(e);
      return;
    }
    startChecked(now);
  }

  /** Refuses a request that was held for as long as its caller can wait. */
  void refuseHeld(Duration expectedWait) {
    if (!isDone()) {
      ServingException notReady = ServingErrors.notReady("no view was confirmed in time");
      end.reject(relay.admission().withExpectedStart(notReady, parsedRequest, expectedWait));
    }
  }

  private void startChecked(Instant now) {
    try {
      RoutingSnapshot routing = relay.admission().routing();
      end.decidedBy(routing);
      request = Optional.of(RelayAdmission.resolve(parsedRequest, routing));
    } catch (ServingException e) {
      end.reject(e);
      return;
    }
    Duration remaining = remaining(now);
    if (remaining.isNegative() || remaining.isZero()) {
      end.rejectLate(Duration.ZERO);
      return;
    }
    relay.retryBudget(request()).deposit();
    deadlineTimer = Optional.of(schedule(end::deadlineExceeded, remaining.plus(DEADLINE_GRACE)));
    waiting.dispatch();
  }

  void cancelDeadline() {
    deadlineTimer.ifPresent(timer -> timer.cancel(false));
  }

  /** Dispatches the request again if it is queued. May be called by any thread. */
  void wakeFromQueue() {
    loop.execute(waiting::dispatchIfQueued);
  }

  /** Dispatches the request again if it is queued and its last decision may be outdated. */
  void wakeIfOutdated() {
    loop.execute(waiting::dispatchIfOutdated);
  }

  /**
   * Refuses the request, which another one displaced from the queue. May be called by any thread.
   */
  void displaced(long sequence) {
    loop.execute(() -> waiting.displaced(sequence));
  }

  /** Stops reading from the target while the connection of the caller is not writable. */
  void writabilityChanged(boolean isWritable) {
    calls.current().ifPresent(current -> current.setReading(isWritable));
  }

  void callerDisconnected() {
    end.callerDisconnected();
  }

  /** Gives the request up because the process stops. */
  void instanceStopped() {
    end.instanceStopped();
  }

  // --------------------------------------------------------------- of a call

  void releaseConnection(TargetCall endedCall, TargetConnection connection) {
    calls.release(endedCall, connection);
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
    results.responseReceived(endedCall, head, body);
  }

  /** Handles a response in which the target reports that it failed or rejected the request. */
  void errorResponseReceived(TargetCall endedCall, HttpResponse head, ByteBuf body) {
    results.errorResponseReceived(endedCall, head, body);
  }

  /** Handles a response in which the target states that it did not execute the request. */
  void notExecuted(TargetCall endedCall, int status) {
    results.notExecuted(endedCall, status);
  }

  /** Handles a closed connection or an invalid response; the request may have been executed. */
  void callFailed(TargetCall endedCall, String cause) {
    results.callFailed(endedCall, cause);
  }

  /** Forwards a complete event of a stream, unless the caller has already received it. */
  void eventReceived(TargetCall from, HttpResponse head, EventStreamDecoder.StreamEvent event) {
    stream.eventReceived(from, head, event);
  }

  void streamCompleted(TargetCall endedCall) {
    stream.completed(endedCall);
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;

/** Ends an exchange, once: with a response, with an error, or without either. */
final class ExchangeEnd {

  private static final Duration REJECTED_RETRY_AFTER = Duration.ofMillis(250);

  private final RelayExchange exchange;
  private boolean isDone;
  private boolean mayHaveExecuted;
  private Instant startedAt = Instant.MIN;
  private Optional<Duration> drainingFor = Optional.empty();
  private Optional<RoutingSnapshot> routing = Optional.empty();
  private Optional<Duration> sinceViewConfirmed = Optional.empty();
  private Optional<Instant> firstByteAt = Optional.empty();
  private Optional<Integer> status = Optional.empty();
  private String errorKind = "none";

  ExchangeEnd(RelayExchange exchange) {
    this.exchange = exchange;
  }

  private RelayState relay() {
    return exchange.relay();
  }

  boolean isDone() {
    return isDone;
  }

  // ------------------------------------------------------ what the end reports

  void started(Instant now) {
    startedAt = now;
    drainingFor = exchange.caller().drainingFor(now);
    routing = Optional.of(relay().admission().routing());
    sinceViewConfirmed = relay().admission().sinceViewConfirmed(now);
  }

  /** Records that a request that was held starts now. */
  void startedAgain(Instant now) {
    sinceViewConfirmed = relay().admission().sinceViewConfirmed(now);
  }

  /** Records the snapshot by which the request is admitted. */
  void decidedBy(RoutingSnapshot snapshot) {
    routing = Optional.of(snapshot);
  }

  /** Records that a target may have executed the request. */
  void recordPossiblyExecuted() {
    mayHaveExecuted = true;
  }

  /** Records that the first byte of a response is being sent to the caller. */
  void responseStarted(HttpResponse head) {
    firstByteAt = Optional.of(relay().now());
    status = Optional.of(head.status().code());
  }

  // ---------------------------------------------------------------- the causes

  void callerDisconnected() {
    if (!isDone) {
      relay().metrics().callerDisconnected(exchange.calls().sentAt().isPresent());
      recordMissingFirstToken();
      finish("caller-gone", exchange.calls().currentTarget(), "");
    }
  }

  /** Learns from a request that is given up without a first token that it took at least so long. */
  private void recordMissingFirstToken() {
    Instant now = relay().now();
    exchange
        .calls()
        .current()
        .filter(current -> current.eventCount() == 0)
        .flatMap(TargetCall::estimate)
        .ifPresent(sent -> relay().recordFirstToken(exchange.request(), sent, now));
  }

  void instanceStopped() {
    if (isDone) {
      return;
    }
    if (exchange.stream().isStarted()) {
      abort("the instance stopped");
    } else if (isPossiblyExecuted()) {
      finishAsFailed(ServingErrors.instanceStopped());
    } else {
      finishAsRefused(ServingErrors.shuttingDown());
    }
  }

  void deadlineExceeded() {
    if (isDone) {
      return;
    }
    exchange
        .calls()
        .current()
        .ifPresent(current -> relay().load().recordFailure(current.target().id(), relay().now()));
    recordMissingFirstToken();
    if (exchange.stream().isStarted()) {
      abort("the time of the route is over");
    } else if (isPossiblyExecuted()) {
      finishAsFailed(ServingErrors.deadlineExceeded(exchange.request().route().timeoutMillis()));
    } else {
      rejectLate(Duration.ZERO);
    }
  }

  private boolean isPossiblyExecuted() {
    return mayHaveExecuted || exchange.calls().current().filter(TargetCall::isSent).isPresent();
  }

  // -------------------------------------------------------------- the responses

  void finishWithResponse(HttpResponse head, ByteBuf body, String outcome, TargetCall endedCall) {
    responseStarted(head);
    finish(outcome, endedCall.target().id(), "status " + head.status().code());
    exchange
        .caller()
        .writeResponse(head.status(), relay().protocol().callerHeaders(head.headers()), body);
  }

  /**
   * Refuses the request because the targets are busy.
   *
   * @param retryAfter time after which capacity is expected
   * @param remaining time until the deadline of the request
   */
  void rejectOverloaded(Duration retryAfter, Duration remaining) {
    reject(
        ServingErrors.overloaded(
            "every target of " + exchange.request().service().name() + " is busy",
            relay().overloadDelay(exchange.request(), retryAfter, remaining, relay().now())));
  }

  /** Refuses the request because it was rejected too often, or came too late. */
  void rejectLate(Duration remaining) {
    rejectOverloaded(REJECTED_RETRY_AFTER, remaining);
  }

  /**
   * Ends the exchange without a response of a target. The error states that the request has not
   * been executed, so it is returned only if no target may have executed it.
   */
  void reject(ServingException error) {
    if (exchange.stream().isStarted()) {
      abort(error.getMessage());
    } else if (mayHaveExecuted) {
      finishAsFailed(ServingErrors.targetFailed("every target that was tried", error.getMessage()));
    } else {
      finishAsRefused(error);
    }
  }

  private void finishAsRefused(ServingException error) {
    relay().metrics().requestRefused(error.kind());
    finishWithError(error, "refused");
  }

  void finishAsFailed(ServingException error) {
    finishWithError(error, "failed");
  }

  private void finishWithError(ServingException error, String outcome) {
    relay().metrics().requestFailed(error.kind());
    status = Optional.of(error.kind().httpStatus());
    errorKind = error.kind().wireName();
    finish(outcome, exchange.calls().currentTarget(), errorKind + ": " + error.getMessage());
    exchange.caller().writeError(exchange.parsedRequest(), error);
  }

  /** Closes the connection of the caller, so that a partial response does not look complete. */
  void abort(String cause) {
    finish("cut", exchange.calls().currentTarget(), cause);
    exchange.caller().abort();
  }

  /** Ends the exchange, except for the response to the caller. */
  void finish(String outcome, String target, String cause) {
    isDone = true;
    exchange.caller().heldRequests().remove(exchange);
    if (exchange.admitted().isPresent()) {
      exchange.waiting().leaveQueue();
    }
    exchange.cancelDeadline();
    exchange.calls().cancelCurrent();
    exchange.httpRequest().release();
    relay().inFlight().decrementAndGet();
    Instant now = relay().now();
    relay().metrics().requestEnded(Duration.between(exchange.parsedRequest().arrivedAt(), now));
    ExchangeLog.logEnd(
        relay().log(),
        exchange.parsedRequest(),
        exchange.admitted(),
        result(outcome, target, cause),
        now);
  }

  private ExchangeLog.Result result(String outcome, String target, String cause) {
    return new ExchangeLog.Result(
        outcome,
        status,
        errorKind,
        decidedBy(),
        target,
        exchange.calls().lastResult(),
        exchange.calls().sendCount(),
        startedAt,
        exchange.calls().sentAt(),
        exchange.calls().expectedMillis(),
        firstByteAt,
        exchange.caller().connectionAge(startedAt),
        drainingFor,
        cause);
  }

  private ExchangeLog.DecidedBy decidedBy() {
    RoutingSnapshot snapshot = routing.orElseThrow();
    return new ExchangeLog.DecidedBy(
        snapshot.view().configuration().version(), snapshot.view().index(), sinceViewConfirmed);
  }
}

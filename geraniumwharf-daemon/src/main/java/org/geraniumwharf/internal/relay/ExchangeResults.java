package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Instant;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.RelayTarget;

/** Handles the result of each call of an exchange: returns it, or sends the request elsewhere. */
final class ExchangeResults {

  private static final int MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code();

  private final RelayExchange exchange;

  ExchangeResults(RelayExchange exchange) {
    this.exchange = exchange;
  }

  private RelayState relay() {
    return exchange.relay();
  }

  void responseReceived(TargetCall endedCall, HttpResponse head, ByteBuf body) {
    relay().load().recordSuccess(endedCall.target().id());
    Instant now = relay().now();
    endedCall
        .estimate()
        .ifPresent(
            sent ->
                relay()
                    .load()
                    .recordResponse(
                        endedCall.target().id(), exchange.request(), sent.elapsedMillis(now), now));
    crashWatch().answered(exchange.request(), endedCall, true);
    relay().recordFirstResponse(exchange.request(), exchange.calls().sentAt(), now);
    relay().recordResponse(exchange.request(), exchange.calls().sentAt(), now);
    if (exchange.calls().end(endedCall)) {
      exchange.end().finishWithResponse(head, body, "answered", endedCall);
    } else {
      body.release();
    }
  }

  void errorResponseReceived(TargetCall endedCall, HttpResponse head, ByteBuf body) {
    int status = head.status().code();
    boolean isStarted = exchange.stream().isStarted();
    relay().load().recordFailure(endedCall.target().id(), relay().now());
    exchange.end().recordPossiblyExecuted();
    if (!exchange.calls().end(endedCall)) {
      body.release();
      return;
    }
    crashWatch()
        .answeredWithFailure(
            exchange.request(),
            endedCall,
            mayRetry -> {
              if (exchange.isDone()) {
                body.release();
              } else if (mayRetry
                  && (isStarted || status >= 500)
                  && exchange.request().isRetryable()
                  && tryAcquireRetry(0)) {
                body.release();
                retry(endedCall, "status " + status);
              } else if (isStarted) {
                body.release();
                exchange.end().abort("status " + status + " for the rest of the stream");
              } else {
                exchange.end().finishWithResponse(head, body, "failed", endedCall);
              }
            });
  }

  void notExecuted(TargetCall endedCall, int status) {
    if (status == MISDIRECTED) {
      endedCall
          .estimate()
          .ifPresent(sent -> relay().load().cold().withdraw(endedCall.target(), sent.sentAt()));
    }
    exchange
        .calls()
        .resultOf(endedCall)
        .ifPresent(
            result ->
                ExchangeLog.logRefusal(
                    relay().log(),
                    exchange.parsedRequest(),
                    endedCall.target().id(),
                    exchange.calls().sendCount(),
                    result));
    if (!endedCall.isTurnedAway()) {
      recordRefusal(endedCall.target(), status);
    }
    if (!exchange.calls().end(endedCall)) {
      return;
    }
    if (tryAcquireRetry(1)) {
      retry(endedCall, "not run, status " + status);
    } else {
      exchange.end().rejectLate(exchange.remaining(relay().now()));
    }
  }

  private void recordRefusal(RelayTarget target, int status) {
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      relay().load().recordRefusal(target, exchange.request(), relay().now());
    } else {
      relay().load().recordRejection(target.id(), relay().now());
    }
  }

  void callFailed(TargetCall endedCall, String cause) {
    if (!endedCall.isTurnedAway()) {
      relay().load().recordFailure(endedCall.target().id(), relay().now());
    }
    exchange.end().recordPossiblyExecuted();
    if (!exchange.calls().end(endedCall)) {
      return;
    }
    if (endedCall.isTurnedAway()) {
      retryOrFail(endedCall, cause, true);
      return;
    }
    crashWatch()
        .callFailed(
            exchange.request(), endedCall, mayRetry -> retryOrFail(endedCall, cause, mayRetry));
  }

  private CrashWatch crashWatch() {
    return exchange.crashWatch();
  }

  private void retryOrFail(TargetCall endedCall, String cause, boolean mayRetry) {
    if (exchange.isDone()) {
      return;
    }
    if (mayRetry && exchange.request().isRetryable() && tryAcquireRetry(0)) {
      retry(endedCall, cause);
    } else if (exchange.stream().isStarted()) {
      exchange.end().abort(cause);
    } else {
      exchange.end().finishAsFailed(ServingErrors.targetFailed(endedCall.target().id(), cause));
    }
  }

  /**
   * Returns whether the request may be sent to another target, and withdraws the retry from the
   * budget.
   *
   * @param extraSends sends beyond the maximum of the route, for one that was not executed
   */
  private boolean tryAcquireRetry(int extraSends) {
    boolean isBeforeDeadline = relay().now().isBefore(exchange.request().deadline());
    return isBeforeDeadline
        && exchange.calls().sendCount() < exchange.request().route().maxTargets() + extraSends
        && relay().retryBudget(exchange.request()).tryWithdraw();
  }

  private void retry(TargetCall endedCall, String cause) {
    relay().metrics().retried();
    relay()
        .log()
        .info(
            Event.of("relay-repeat")
                .with("request", exchange.parsedRequest().id())
                .with("target", endedCall.target().id())
                .with("cause", cause)
                .with("lastEvent", exchange.stream().lastEventId().orElse("none")));
    exchange.waiting().dispatch();
  }
}

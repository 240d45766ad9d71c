package org.geraniumwharf.internal.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.error.ServingErrors;

/** Forwards the events of a streamed response, which may come from one target after the other. */
final class ExchangeStream {

  private final RelayExchange exchange;
  private boolean isStarted;
  private Optional<String> lastEventId = Optional.empty();

  ExchangeStream(RelayExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns whether the caller was sent a part of the response. */
  boolean isStarted() {
    return isStarted;
  }

  /** Returns the id of the last event that the caller was sent. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  void eventReceived(TargetCall from, HttpResponse head, EventStreamDecoder.StreamEvent event) {
    if (exchange.isDone()) {
      return;
    }
    RelayState relay = exchange.relay();
    if (from.eventCount() == 1) {
      Instant now = relay.now();
      relay.load().recordFirstToken(from.run(), now);
      relay.recordFirstResponse(exchange.request(), exchange.calls().sentAt(), now);
      from.estimate().ifPresent(sent -> relay.recordFirstToken(exchange.request(), sent, now));
    }
    if (isAlreadySent(event)) {
      return;
    }
    if (!isStarted) {
      isStarted = true;
      exchange.end().responseStarted(head);
      relay
          .metrics()
          .firstToken(Duration.between(exchange.parsedRequest().arrivedAt(), relay.now()));
      exchange
          .caller()
          .startResponse(head.status(), relay.protocol().callerHeaders(head.headers()));
    }
    exchange.caller().write(event.bytes());
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

  void completed(TargetCall endedCall) {
    RelayState relay = exchange.relay();
    relay.load().recordSuccess(endedCall.target().id());
    if (!exchange.calls().end(endedCall)) {
      return;
    }
    if (isStarted) {
      exchange.crashWatch().answered(exchange.request(), endedCall, !endedCall.isResumed());
      relay.recordResponse(exchange.request(), exchange.calls().sentAt(), relay.now());
      exchange.end().finish("answered", endedCall.target().id(), "");
      exchange.caller().endResponse();
    } else {
      exchange
          .end()
          .finishAsFailed(
              ServingErrors.targetFailed(endedCall.target().id(), "the stream has no event"));
    }
  }
}

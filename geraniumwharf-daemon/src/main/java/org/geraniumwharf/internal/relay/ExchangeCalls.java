package org.geraniumwharf.internal.relay;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayTarget;

/** Sends the request of an exchange to targets, to one after the other. */
final class ExchangeCalls {

  private final RelayExchange exchange;
  private final Set<String> triedTargets = new HashSet<>();
  private int sendCount;
  private Optional<TargetCall> call = Optional.empty();
  private Optional<SentCall> lastSent = Optional.empty();
  private Optional<Instant> sentAt = Optional.empty();

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

  ExchangeCalls(RelayExchange exchange) {
    this.exchange = exchange;
  }

  private RelayState relay() {
    return exchange.relay();
  }

  private TargetConnectionPool pool() {
    return exchange.caller().targetPool();
  }

  /** Returns the ids of the targets that the request was sent to. */
  Set<String> triedTargets() {
    return triedTargets;
  }

  /** Returns the call that has not ended. */
  Optional<TargetCall> current() {
    return call;
  }

  /** Returns the id of the target of the call that has not ended, or {@code none}. */
  String currentTarget() {
    return call.map(current -> current.target().id()).orElse("none");
  }

  int sendCount() {
    return sendCount;
  }

  /** Returns the time when the request was last sent to a target. */
  Optional<Instant> sentAt() {
    return sentAt;
  }

  /** Returns the expected time from the last send of a generation to its first token, ms. */
  Optional<Long> expectedMillis() {
    return lastSent
        .filter(sent -> exchange.request().isGeneration())
        .flatMap(sent -> sent.call().estimate())
        .map(estimate -> Math.round(estimate.choice().costMillis()));
  }

  /** Returns what the target that the request was last sent to gave as an answer. */
  Optional<ExchangeLog.TargetResult> lastResult() {
    return lastSent.map(sent -> sent.result(relay().protocol()));
  }

  /** Returns what a target gave as an answer; empty if the request was sent elsewhere since. */
  Optional<ExchangeLog.TargetResult> resultOf(TargetCall endedCall) {
    return lastSent.filter(sent -> sent.call() == endedCall).flatMap(sent -> lastResult());
  }

  void send(RelayPlacement.Choice choice, Permit permit, Instant now) {
    RelayTarget target = choice.target();
    triedTargets.add(target.id());
    RelayLoadTable.InFlightRequest run = relay().load().recordSent(choice, exchange.request(), now);
    TargetCall next = new TargetCall(exchange, target, run, choice, permit);
    call = Optional.of(next);
    ExchangeLog.logDecision(relay(), exchange.request(), sendCount + 1, choice, now);
    CompletableFuture<Void> checked =
        relay().checkCold(target, exchange.request(), exchange.loop(), now);
    if (checked.isDone()) {
      acquire(next);
    } else {
      var unused = checked.thenRun(() -> acquireIfCurrent(next));
    }
  }

  private void acquireIfCurrent(TargetCall next) {
    if (call.filter(current -> current == next).isPresent()) {
      acquire(next);
    }
  }

  private void acquire(TargetCall next) {
    pool()
        .acquire(
            addressOf(next),
            exchange.parsedRequest().id(),
            connection -> sendRequest(connection, next),
            cause -> connectFailed(next, cause));
  }

  private void sendRequest(TargetConnection connection, TargetCall next) {
    boolean isCurrent = call.filter(current -> current == next).isPresent();
    if (exchange.isDone() || !isCurrent || !exchange.caller().isConnected()) {
      release(next, connection);
      return;
    }
    Instant now = relay().now();
    Duration remaining = exchange.remaining(now);
    if (remaining.isNegative() || remaining.isZero()) {
      release(next, connection);
      exchange.end().deadlineExceeded();
      return;
    }
    if (isExcluded(next, now) || !relay().tryColdSend(next.target(), exchange.request(), now)) {
      release(next, connection);
      excludedWhileConnecting(next);
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
    exchange.followIsolation();
    CacheTransfers transfers = relay().planTransfers(exchange.request(), next.target());
    boolean isResumed =
        exchange.stream().isStarted() || exchange.parsedRequest().lastEventId().isPresent();
    next.sent(connection, transfers, isResumed, now);
    RelayProtocol.ForwardedRequest forwarded =
        new RelayProtocol.ForwardedRequest(
            exchange.request(),
            next.target(),
            remaining,
            exchange.stream().lastEventId(),
            transfers);
    connection.send(
        TargetRequests.forward(relay().protocol(), exchange.httpRequest(), forwarded),
        exchange.parsedRequest().id(),
        next);
  }

  /** Returns whether a target may not get the request any more, or the permit for it expired. */
  private boolean isExcluded(TargetCall next, Instant now) {
    return !relay().isRegionAllowed(exchange.request(), next.target())
        || relay().load().isClosed(next.target(), now)
        || relay().isOverdue(next.target(), now)
        || relay().isEvacuated(next.target())
        || !relay().load().permits().isValid(next.permit(), now);
  }

  /** Places a request again whose target was excluded while the connection was opened. */
  private void excludedWhileConnecting(TargetCall unsent) {
    triedTargets.remove(unsent.target().id());
    if (end(unsent)) {
      exchange.waiting().dispatch();
    }
  }

  private static InetSocketAddress addressOf(TargetCall target) {
    return ControlDirectory.parseAddress(target.target().address());
  }

  void release(TargetCall endedCall, TargetConnection connection) {
    pool().release(addressOf(endedCall), connection);
  }

  private void connectFailed(TargetCall endedCall, Throwable cause) {
    relay().load().recordUnreachable(endedCall.target().id(), relay().now());
    relay()
        .log()
        .warn(
            Event.of("target-unreachable")
                .with("target", endedCall.target().id())
                .with("request", exchange.parsedRequest().id())
                .with("cause", cause.getMessage()));
    if (end(endedCall)) {
      exchange.waiting().dispatch();
    }
  }

  /**
   * Removes a call from the load table.
   *
   * @return false if the exchange is done or the call is no longer the current one
   */
  boolean end(TargetCall endedCall) {
    if (call.filter(current -> current == endedCall).isEmpty()) {
      return false;
    }
    call = Optional.empty();
    Instant now = relay().now();
    if (!endedCall.isSent()) {
      relay().load().permits().giveBack(endedCall.permit());
    }
    relay().load().recordEnded(endedCall.run());
    relay().requestEnded(exchange.request(), endedCall.isWorkDone(), now);
    return !exchange.isDone();
  }

  /** Cancels the call that has not ended. */
  void cancelCurrent() {
    call.ifPresent(
        current -> {
          end(current);
          current.cancel();
        });
  }
}

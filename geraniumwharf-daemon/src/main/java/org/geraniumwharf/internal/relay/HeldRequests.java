package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.HoldPolicy;

/**
 * Requests of one event loop that arrived before the first confirmed view of this process. They are
 * started in their order when it comes, or refused when their callers would give up. Confined to
 * its event loop.
 */
final class HeldRequests {

  /** Time between two looks for the view; short against the goals of the callers. */
  private static final long CHECK_INTERVAL_MILLIS = 10;

  private final RelayState relay;
  private final EventLoop loop;
  private final RequestStarter starter;
  private final Map<RelayExchange, Held> held = new LinkedHashMap<>();
  private long heldBytes;

  HeldRequests(RelayState relay, EventLoop loop, RequestStarter starter) {
    this.relay = relay;
    this.loop = loop;
    this.starter = starter;
  }

  private record Held(Instant since, Instant until, int bytes) {}

  /**
   * Holds a request if there is room and time for it.
   *
   * @return the time after which service is expected, if the request must be refused
   */
  Optional<Duration> offer(RelayExchange exchange, int bytes, Instant now) {
    HoldPolicy.Decision decision =
        relay.holdPolicy().decide(exchange.parsedRequest(), held.size(), heldBytes, bytes, now);
    if (decision.heldUntil().isEmpty()) {
      return Optional.of(decision.retryAfter());
    }
    if (held.isEmpty()) {
      scheduleCheck();
    }
    held.put(exchange, new Held(now, decision.heldUntil().get(), bytes));
    heldBytes += bytes;
    relay.metrics().requestHeld();
    return Optional.empty();
  }

  /** Drops a request that has ended. */
  void remove(RelayExchange exchange) {
    Held removed = held.remove(exchange);
    if (removed != null) {
      heldBytes -= removed.bytes();
    }
  }

  private void scheduleCheck() {
    var unused = loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    Instant now = relay.now();
    if (relay.admission().isAwaitingFirstView(now)) {
      refuseOverdue(now);
    } else {
      startAll(now);
    }
    if (!held.isEmpty()) {
      scheduleCheck();
    }
  }

  private void refuseOverdue(Instant now) {
    List<RelayExchange> overdue = new ArrayList<>();
    held.forEach(
        (exchange, request) -> {
          if (!now.isBefore(request.until())) {
            overdue.add(exchange);
          }
        });
    for (RelayExchange exchange : overdue) {
      remove(exchange);
      exchange.refuseHeld(relay.holdPolicy().expectedWait(now));
    }
  }

  /** Starts as many in a pass of the event loop as of requests that were just read. */
  private void startAll(Instant now) {
    if (held.isEmpty()) {
      return;
    }
    Instant oldest = held.values().iterator().next().since();
    relay
        .log()
        .info(
            Event.of("held-requests-started")
                .with("requests", held.size())
                .with("bytes", heldBytes)
                .with("longestMillis", Duration.between(oldest, now).toMillis()));
    held.keySet().forEach(exchange -> start(exchange, now));
    held.clear();
    heldBytes = 0;
  }

  /** With a fair queue, requests that missed their goal are started behind fresh ones. */
  private void start(RelayExchange exchange, Instant now) {
    if (relay.isQueueFair() && relay.isGoalMissed(exchange.parsedRequest(), now)) {
      starter.addDeferred(exchange::startHeld);
    } else {
      starter.add(exchange::startHeld);
    }
  }
}

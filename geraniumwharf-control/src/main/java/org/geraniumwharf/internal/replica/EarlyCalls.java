package org.geraniumwharf.internal.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;

/**
 * Calls that arrive before a replica has known any leader since its start. They wait for the
 * election for a bounded time instead of being refused: after a restart of all processes every
 * daemon would otherwise repeat its calls many times a second, at the expense of the election. Used
 * by the replica thread only.
 */
final class EarlyCalls {

  /** Below the time after which a daemon takes a call for lost and asks another instance. */
  private static final Duration MAX_WAIT = Duration.ofMillis(700);

  /** Calls of 400 daemons, each with a read, a heartbeat and some announcements of targets. */
  private static final int MAX_CALLS = 2048;

  private final BiConsumer<PeerMessage, CompletableFuture<ControlAnswer>> handler;
  private final Deque<EarlyCall> calls = new ArrayDeque<>();

  EarlyCalls(BiConsumer<PeerMessage, CompletableFuture<ControlAnswer>> handler) {
    this.handler = handler;
  }

  /** Holds a call; returns false if it must be handled now because too many wait. */
  boolean add(PeerMessage call, CompletableFuture<ControlAnswer> answer, Instant now) {
    return calls.size() < MAX_CALLS && calls.add(new EarlyCall(call, answer, now.plus(MAX_WAIT)));
  }

  /** Fails all calls because the replica stops. */
  void failAll() {
    calls.forEach(
        call ->
            call.answer().complete(PendingCalls.failed("the control instance is stopping", false)));
    calls.clear();
  }

  /** Handles the calls whose time is over, or all of them. */
  void release(boolean isAll, Instant now) {
    while (!calls.isEmpty() && (isAll || !now.isBefore(calls.peek().until()))) {
      EarlyCall next = calls.poll();
      handler.accept(next.call(), next.answer());
    }
  }

  private record EarlyCall(
      PeerMessage call, CompletableFuture<ControlAnswer> answer, Instant until) {}
}

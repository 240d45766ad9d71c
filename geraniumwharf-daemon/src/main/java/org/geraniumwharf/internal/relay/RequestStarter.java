package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Starts the requests that an event loop has read, in the order in which they were read. Handles
 * bursts on an instance that is short of processor time: the loop reads its connections again after
 * each bounded time of starts, so that the close of a caller is noticed before its request is
 * started, or sent over a connection that opened meanwhile. Confined to its event loop.
 */
final class RequestStarter {

  /** Time of starts after which the connections are read again. */
  private static final Duration MAX_TIME_PER_PASS = Duration.ofMillis(20);

  /** One in so many starts is a deferred one while there are others. */
  private static final int STARTS_PER_DEFERRED = 4;

  private final ScheduledExecutorService loop;
  private final InstantSource clock;

  private final Deque<Runnable> starts = new ArrayDeque<>();
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private int startsUntilDeferred = STARTS_PER_DEFERRED;
  private final Runnable pass = this::runForOnePass;
  private boolean isScheduled;

  RequestStarter(ScheduledExecutorService loop, InstantSource clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /** Adds the start of a request that was just read. */
  void add(Runnable start) {
    starts.add(start);
    schedule();
  }

  /** Adds the start of a request that can only be served late, behind those that can be on time. */
  void addDeferred(Runnable start) {
    deferred.add(start);
    schedule();
  }

  private void schedule() {
    if (!isScheduled) {
      isScheduled = true;
      loop.execute(pass);
    }
  }

  private void runForOnePass() {
    Instant end = clock.instant().plus(MAX_TIME_PER_PASS);
    try {
      do {
        next().run();
      } while (isAnyLeft() && clock.instant().isBefore(end));
    } finally {
      isScheduled = isAnyLeft();
      if (isScheduled) {
        scheduleNextPass();
      }
    }
  }

  private boolean isAnyLeft() {
    return !starts.isEmpty() || !deferred.isEmpty();
  }

  private Runnable next() {
    if (starts.isEmpty()) {
      return deferred.remove();
    }
    if (!deferred.isEmpty() && --startsUntilDeferred <= 0) {
      startsUntilDeferred = STARTS_PER_DEFERRED;
      return deferred.remove();
    }
    return starts.remove();
  }

  /** A timer that is due at once runs after the next reads, unlike a task. */
  private void scheduleNextPass() {
    var unused = loop.schedule(pass, 0, TimeUnit.NANOSECONDS);
  }
}

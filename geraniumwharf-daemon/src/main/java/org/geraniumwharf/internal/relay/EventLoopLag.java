package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * How far an event loop is behind. At a burst a request waits unread for as long as the loop works
 * on others, and its caller may be gone by then; its time is therefore counted from before it was
 * read. Confined to its event loop.
 */
final class EventLoopLag {

  private static final Duration MEASUREMENT_INTERVAL = Duration.ofMillis(50);

  private final InstantSource clock;
  private Instant nextRunDueAt;
  private Duration lastLag = Duration.ZERO;

  private EventLoopLag(InstantSource clock) {
    this.clock = clock;
    this.nextRunDueAt = clock.instant().plus(MEASUREMENT_INTERVAL);
  }

  /** Starts to measure a loop. */
  static EventLoopLag start(ScheduledExecutorService loop, InstantSource clock) {
    EventLoopLag delay = new EventLoopLag(clock);
    var unused =
        loop.scheduleWithFixedDelay(
            () -> delay.recordRun(clock.instant()),
            MEASUREMENT_INTERVAL.toMillis(),
            MEASUREMENT_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
    return delay;
  }

  /** Creates a measure that is told of each run. */
  static EventLoopLag unscheduled(InstantSource clock) {
    return new EventLoopLag(clock);
  }

  /** Notes that the periodic task ran. */
  void recordRun(Instant now) {
    lastLag = lagAt(now);
    nextRunDueAt = now.plus(MEASUREMENT_INTERVAL);
  }

  private Duration lagAt(Instant now) {
    return now.isAfter(nextRunDueAt) ? Duration.between(nextRunDueAt, now) : Duration.ZERO;
  }

  /** Returns the time for which a request that is read now may have waited. */
  Duration current() {
    Duration now = lagAt(clock.instant());
    return now.compareTo(lastLag) > 0 ? now : lastLag;
  }
}

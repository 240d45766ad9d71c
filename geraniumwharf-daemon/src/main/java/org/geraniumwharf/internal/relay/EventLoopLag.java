package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Measures the lag of an event loop by a periodic task. During a burst, a request waits unread
 * while the loop handles others, and its caller may have disconnected by then. The lag is therefore
 * subtracted from the time of reading to estimate when a request arrived. Confined to its event
 * loop.
 */
final class EventLoopLag {

  private static final Duration MEASUREMENT_INTERVAL = Duration.ofMillis(50);

  private final InstantSource clock;
  private final Consumer<Duration> observer;
  private Instant nextRunDueAt;
  private Duration lastLag = Duration.ZERO;

  private EventLoopLag(InstantSource clock, Consumer<Duration> observer) {
    this.clock = clock;
    this.observer = observer;
    this.nextRunDueAt = clock.instant().plus(MEASUREMENT_INTERVAL);
  }

  /**
   * Starts to measure an event loop.
   *
   * @param observer receives each measurement, on the event loop
   */
  static EventLoopLag start(
      ScheduledExecutorService loop, InstantSource clock, Consumer<Duration> observer) {
    EventLoopLag lag = new EventLoopLag(clock, observer);
    var unused =
        loop.scheduleWithFixedDelay(
            () -> lag.recordRun(clock.instant()),
            MEASUREMENT_INTERVAL.toMillis(),
            MEASUREMENT_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
    return lag;
  }

  /** Creates an instance without a periodic task; the caller invokes {@link #recordRun}. */
  static EventLoopLag unscheduled(InstantSource clock) {
    return new EventLoopLag(clock, measured -> {});
  }

  /** Records that the periodic task ran. */
  void recordRun(Instant now) {
    lastLag = lagAt(now);
    nextRunDueAt = now.plus(MEASUREMENT_INTERVAL);
    observer.accept(lastLag);
  }

  private Duration lagAt(Instant now) {
    return now.isAfter(nextRunDueAt) ? Duration.between(nextRunDueAt, now) : Duration.ZERO;
  }

  /** Returns the longest time that a request that is read now may have waited unread. */
  Duration current() {
    Duration now = lagAt(clock.instant());
    return now.compareTo(lastLag) > 0 ? now : lastLag;
  }
}

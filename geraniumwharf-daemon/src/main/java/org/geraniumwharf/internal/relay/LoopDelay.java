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
final class LoopDelay {

  private static final Duration PERIOD = Duration.ofMillis(50);

  private final InstantSource clock;
  private Instant due;
  private Duration last = Duration.ZERO;

  private LoopDelay(InstantSource clock) {
    this.clock = clock;
    this.due = clock.instant().plus(PERIOD);
  }

  /** Starts to measure a loop. */
  static LoopDelay measure(ScheduledExecutorService loop, InstantSource clock) {
    LoopDelay delay = new LoopDelay(clock);
    var unused =
        loop.scheduleWithFixedDelay(
            () -> delay.ran(clock.instant()),
            PERIOD.toMillis(),
            PERIOD.toMillis(),
            TimeUnit.MILLISECONDS);
    return delay;
  }

  /** Creates a measure that is told of each run. */
  static LoopDelay at(InstantSource clock) {
    return new LoopDelay(clock);
  }

  /** Notes that the periodic task ran. */
  void ran(Instant now) {
    last = behind(now);
    due = now.plus(PERIOD);
  }

  private Duration behind(Instant now) {
    return now.isAfter(due) ? Duration.between(due, now) : Duration.ZERO;
  }

  /** Returns the time for which a request that is read now may have waited. */
  Duration current() {
    Duration now = behind(clock.instant());
    return now.compareTo(last) > 0 ? now : last;
  }
}

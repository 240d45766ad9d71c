package org.geraniumwharf.time;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that starts at the wall-clock time of its creation and advances with the monotonic timer,
 * so that a jump of the system clock neither shortens nor lengthens a lease. Immutable.
 */
public final class MonotonicClock implements InstantSource {

  private final Instant start;
  private final long startNanos;

  private MonotonicClock(Instant start, long startNanos) {
    this.start = start;
    this.startNanos = startNanos;
  }

  public static MonotonicClock create() {
    return new MonotonicClock(Instant.now(), System.nanoTime());
  }

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}

package org.geraniumwharf.time;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** What follows from the time at which a process was started. */
public final class ProcessStart {

  /**
   * Time after which a process that was started counts as serving, however long it takes. It is
   * that of the platforms which bound the work on replaced weights.
   */
  static final Duration START_TIME = Duration.ofSeconds(3);

  /** Time for which gaps in the service are taken for those of the start. */
  static final Duration RECENT = Duration.ofSeconds(30);

  private ProcessStart() {}

  /** Returns the start of this process by the clock that {@code now} was taken from. */
  public static Instant asOf(Instant now) {
    return now.minusMillis(millisSince());
  }

  /** Returns the time since the start of this process, ms. */
  public static long millisSince() {
    return ManagementFactory.getRuntimeMXBean().getUptime();
  }

  /** Returns whether a process that was started a time ago is expected to serve. */
  public static boolean isExpectedToServe(Duration up) {
    return up.compareTo(START_TIME) >= 0;
  }

  /**
   * Returns the time from which on a process that was started lately is expected to serve; empty if
   * it was started longer ago.
   */
  public static Optional<Instant> servingSince(Instant startedAt, Instant now) {
    return now.isBefore(startedAt.plus(RECENT))
        ? Optional.of(startedAt.plus(START_TIME))
        : Optional.empty();
  }
}

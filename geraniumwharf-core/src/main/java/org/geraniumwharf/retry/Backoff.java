package org.geraniumwharf.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.geraniumwharf.internal.checks.Checks;

/** Exponential backoff with full jitter. Immutable. */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 20;

  private final Duration base;
  private final Duration cap;

  private Backoff(Duration base, Duration cap) {
    this.base = base;
    this.cap = cap;
  }

  public static Backoff of(Duration base, Duration cap) {
    return new Backoff(base, cap);
  }

  /**
   * Returns a random delay between zero and the bound of this attempt, which doubles with each
   * attempt up to the cap.
   *
   * @param attempt number of the retry, from 0
   */
  public Duration delay(int attempt, RandomGenerator random) {
    Checks.checkNotNegative(attempt, "attempt");
    long bound = base.toMillis() << Math.min(MAX_DOUBLINGS, attempt);
    return Duration.ofMillis(random.nextLong(Math.min(cap.toMillis(), bound) + 1));
  }
}

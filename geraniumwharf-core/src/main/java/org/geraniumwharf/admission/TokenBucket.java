package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import org.geraniumwharf.internal.checks.Checks;

/** Token bucket whose callers pass the current time. Not thread-safe. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private double ratePerSecond;
  private double capacity;
  private double available;
  private Instant refilledAt;

  private TokenBucket(double rate, double capacity, Instant now) {
    this.ratePerSecond = rate;
    this.capacity = capacity;
    this.available = capacity;
    this.refilledAt = now;
  }

  /** Creates a full bucket whose capacity is what the rate yields in {@code burst}. */
  static TokenBucket full(double ratePerSecond, Duration burst, Instant now) {
    Checks.checkPositive(ratePerSecond, "ratePerSecond");
    return new TokenBucket(ratePerSecond, capacity(ratePerSecond, burst), now);
  }

  void changeRate(double newRatePerSecond, Duration burst, Instant now) {
    refill(now);
    ratePerSecond = newRatePerSecond;
    capacity = capacity(newRatePerSecond, burst);
    available = Math.min(available, capacity);
  }

  /**
   * Consumes an amount if it is available. A full bucket admits an amount above its capacity and
   * goes negative, since such a request would otherwise never be admitted.
   *
   * @return false if the amount is not available; nothing is consumed then
   */
  boolean tryConsume(double amount, Instant now) {
    refill(now);
    if (available < Math.min(amount, capacity)) {
      return false;
    }
    available -= amount;
    return true;
  }

  /** Returns a consumed amount that was not used. */
  void refund(double amount) {
    available = Math.min(capacity, available + amount);
  }

  /** Returns the time after which {@link #tryConsume} would succeed; zero if it would now. */
  Duration timeUntilAvailable(double amount, Instant now) {
    refill(now);
    double missing = Math.min(amount, capacity) - available;
    return Duration.ofNanos((long) (Math.max(0, missing) / ratePerSecond * NANOS_PER_SECOND));
  }

  private static double capacity(double rate, Duration burst) {
    return Math.max(1, rate * burst.toMillis() / 1000.0);
  }

  private void refill(Instant now) {
    long nanos = Duration.between(refilledAt, now).toNanos();
    if (nanos > 0) {
      available = Math.min(capacity, available + ratePerSecond * nanos / NANOS_PER_SECOND);
      refilledAt = now;
    }
  }
}

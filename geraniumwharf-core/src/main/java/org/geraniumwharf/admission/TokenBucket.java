package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import org.geraniumwharf.internal.checks.Checks;

/** Token bucket with the present time as an argument. Not safe for use by several threads. */
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

  /** Creates a full bucket that holds what it gains in {@code burst}. */
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
   * Takes an amount. One amount above the capacity passes a full bucket and leaves a debt, so that
   * a large request is slowed and not refused for ever.
   */
  boolean tryConsume(double amount, Instant now) {
    refill(now);
    if (available < Math.min(amount, capacity)) {
      return false;
    }
    available -= amount;
    return true;
  }

  /** Gives back what was taken and not used. */
  void refund(double amount) {
    available = Math.min(capacity, available + amount);
  }

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

package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import org.geraniumwharf.internal.checks.Checks;

/** Token bucket whose callers pass the current time. Not thread-safe. */
public final class TokenBucket {

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
  public static TokenBucket full(double ratePerSecond, Duration burst, Instant now) {
    Checks.checkPositive(ratePerSecond, "ratePerSecond");
    return new TokenBucket(ratePerSecond, capacity(ratePerSecond, burst), now);
  }

  /** Creates an empty bucket whose capacity is what the rate yields in {@code burst}. */
  public static TokenBucket empty(double ratePerSecond, Duration burst, Instant now) {
    TokenBucket bucket = full(ratePerSecond, burst, now);
    bucket.available = 0;
    return bucket;
  }

  /** Changes the rate and the capacity, and keeps what is available up to the new capacity. */
  public void changeRate(double newRatePerSecond, Duration burst, Instant now) {
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
  public boolean tryConsume(double amount, Instant now) {
    refill(now);
    if (available < Math.min(amount, capacity)) {
      return false;
    }
    available -= amount;
    return true;
  }

  /** Returns a consumed amount that was not used. */
  public void refund(double amount) {
    available = Math.min(capacity, available + amount);
  }

  /** Returns the time after which {@link #tryConsume} would succeed; zero if it would now. */
  public Duration timeUntilAvailable(double amount, Instant now) {
    refill(now);
    double missing = Math.min(amount, capacity) - available;
    return Duration.ofNanos((long) (Math.max(0, missing) / ratePerSecond * NANOS_PER_SECOND));
  }

  /** Returns the amount that is available. */
  public double available(Instant now) {
    refill(now);
    return available;
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

package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.admission.TokenBucket;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * Share of a limit that an entry uses while it gets no permits of the leader: one request at once
 * at a part of an equal share, since other entries may still get permits. Where there are so many
 * entries that even one request of each is too much, a hash selects those that use a share. Not
 * thread-safe.
 */
final class LocalShare {

  /** Part of the limit that all entries together use without a leader. */
  private static final double FRACTION = 0.4;

  /** Entries that may use a share besides one for each request a second. */
  private static final int SPARE_ENTRIES = 2;

  private static final Duration BURST = Duration.ZERO;

  /** Time until an entry without a share may expect to get permits again. */
  private static final Duration WAIT_WITHOUT_SHARE = Duration.ofSeconds(5);

  private final double position;
  private final double requestsPerSecond;
  private Optional<Instant> startedAt = Optional.empty();
  private Optional<TokenBucket> bucket = Optional.empty();

  private LocalShare(double position, double requestsPerSecond) {
    this.position = position;
    this.requestsPerSecond = requestsPerSecond;
  }

  static LocalShare of(String target, String instance, double requestsPerSecond) {
    double position = RendezvousHash.fraction(RendezvousHash.keyOf(instance + '@' + target));
    return new LocalShare(position, requestsPerSecond);
  }

  /** Starts to accumulate requests, unless it did before. */
  void start(Instant now) {
    if (startedAt.isEmpty()) {
      startedAt = Optional.of(now);
    }
  }

  void stop() {
    startedAt = Optional.empty();
    bucket = Optional.empty();
  }

  /** Returns whether a request may be sent; to be called after {@link #start} only. */
  boolean isAvailable(int instances, Instant now) {
    return hasShare(instances) && bucket(instances).timeUntilAvailable(1, now).isZero();
  }

  void take(int instances, Instant now) {
    bucket(instances).tryConsume(1, now);
  }

  /** Returns the time until a request behind some others may be sent. */
  Duration wait(int ahead, int instances, Instant now) {
    if (!hasShare(instances)) {
      return WAIT_WITHOUT_SHARE;
    }
    Duration perRequest = Duration.ofMillis((long) (1000 / rate(instances)));
    return bucket(instances).timeUntilAvailable(1, now).plus(perRequest.multipliedBy(ahead));
  }

  private TokenBucket bucket(int instances) {
    if (bucket.isEmpty()) {
      bucket = Optional.of(TokenBucket.empty(rate(instances), BURST, startedAt.orElseThrow()));
    }
    return bucket.get();
  }

  private boolean hasShare(int instances) {
    return position * instances < users(instances);
  }

  private double rate(int instances) {
    return requestsPerSecond * FRACTION / users(instances);
  }

  private int users(int instances) {
    return Math.min(instances, (int) requestsPerSecond + SPARE_ENTRIES);
  }
}

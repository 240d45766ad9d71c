package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;

/** Rules that count requests: the expected wait is their number times the mean gap between ends. */
final class ArrivalRules implements QueueRules {

  /** Longest wait for which a request is queued, however long its caller would wait. */
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);

  /** A request waits for at most the time until its deadline divided by this. */
  private static final int CALLER_TIME_DIVISOR = 4;

  /** Rate at which requests end that is assumed until two of them have ended. */
  private static final double INITIAL_REQUESTS_PER_SECOND = 20;

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double MILLIS_PER_SECOND = 1000;

  private final QueueOrder order;
  private double meanGapMillis = MILLIS_PER_SECOND / INITIAL_REQUESTS_PER_SECOND;
  private Instant lastEndedAt = Instant.MIN;

  ArrivalRules(QueueOrder order) {
    this.order = order;
  }

  /** Returns the longest time for which a request with this deadline is queued. */
  static Duration maxWait(Instant deadline, Instant now) {
    Duration callerLimit = Duration.between(now, deadline).dividedBy(CALLER_TIME_DIVISOR);
    return callerLimit.compareTo(MAX_WAIT) < 0 ? callerLimit : MAX_WAIT;
  }

  @Override
  public QueueOrder order(Collection<? extends QueuedRequest> waiting) {
    return order;
  }

  @Override
  public Instant latestDispatch(RequestProfile profile, Instant now) {
    return now.plus(maxWait(profile.deadline(), now));
  }

  @Override
  public Duration expectedResponse(RequestProfile profile) {
    return Duration.ZERO;
  }

  @Override
  public Duration expectedWait(
      QueuedRequest offered, Collection<? extends QueuedRequest> waiting, Instant now) {
    Comparator<QueuedRequest> current = order.at(now);
    int ahead = 0;
    for (QueuedRequest other : waiting) {
      if (current.compare(other, offered) < 0) {
        ahead++;
      }
    }
    return Duration.ofMillis((long) ((ahead + 1) * meanGapMillis));
  }

  @Override
  public Duration drainTime(Collection<? extends QueuedRequest> waiting, Instant now) {
    return Duration.ofMillis((long) (waiting.size() * meanGapMillis));
  }

  @Override
  public int maxWaiting() {
    return Integer.MAX_VALUE;
  }

  @Override
  public boolean isHopeless(
      QueuedRequest last, Collection<? extends QueuedRequest> waiting, Instant now) {
    return false;
  }

  /** A large request that waits for memory does not block smaller ones. */
  @Override
  public boolean holdsUp(
      QueuedRequest waiting, QueuedRequest arrived, Comparator<QueuedRequest> current) {
    return waiting.priority() <= arrived.priority() && waiting.size() <= arrived.size();
  }

  @Override
  public void recordDispatched(
      RequestProfile profile, Collection<? extends QueuedRequest> waiting, Instant now) {}

  @Override
  public void recordRefused(RequestProfile profile, Instant now) {}

  @Override
  public void recordEnded(double work, boolean isAnyWaiting, Instant now) {
    if (!lastEndedAt.equals(Instant.MIN)) {
      double gap = Duration.between(lastEndedAt, now).toNanos() / 1e6;
      meanGapMillis += SMOOTHING_FACTOR * (Math.min(gap, MILLIS_PER_SECOND) - meanGapMillis);
    }
    lastEndedAt = now;
  }

  @Override
  public void recordFirstResponse(RequestProfile profile, double millis) {}

  @Override
  public void recordResponse(RequestProfile profile, double millis) {}
}

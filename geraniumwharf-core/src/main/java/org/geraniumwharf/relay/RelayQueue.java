package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Queue of requests of one service that wait for free capacity, in a {@link QueueOrder}. Safe for
 * use by several threads; no other lock is taken while its lock is held.
 *
 * <p>Handles load peaks of at most about a second: a request waits only while its response can
 * still be on time or slightly late. During a longer peak, requests are rejected at once, with the
 * time after which capacity is expected.
 *
 * @param <T> type of the queued requests
 */
public final class RelayQueue<T> {

  /** Longest wait for which a request is queued, however long its caller would wait. */
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);

  /** A request waits for at most the time until its deadline divided by this. */
  private static final int CALLER_TIME_DIVISOR = 4;

  /** Rate at which requests end that is assumed until two of them have ended. */
  private static final double INITIAL_REQUESTS_PER_SECOND = 20;

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double MILLIS_PER_SECOND = 1000;

  private final QueueOrder order;

  /** Kept in the order of the last use. */
  private final List<Entry<T>> entries = new ArrayList<>();

  private long nextSequence;
  private double meanGapMillis = MILLIS_PER_SECOND / INITIAL_REQUESTS_PER_SECOND;
  private Instant lastEndedAt = Instant.MIN;

  private RelayQueue(QueueOrder order) {
    this.order = order;
  }

  /** Creates a queue that is ordered by priority and arrival. */
  public static <T> RelayQueue<T> create() {
    return inOrder(QueueOrder.byPriority());
  }

  /** Creates a queue with an order. */
  public static <T> RelayQueue<T> inOrder(QueueOrder order) {
    return new RelayQueue<>(order);
  }

  /**
   * A queued request.
   *
   * @param item the request
   * @param priority 0 is the most urgent
   * @param size tokens that it occupies at a target
   * @param sequence position in the order of arrival
   * @param expiresAt time at which the request is to leave the queue unserved
   */
  public record Entry<T>(T item, int priority, long size, long sequence, Instant expiresAt)
      implements QueuedRequest {}

  /**
   * Result of an offer to the queue.
   *
   * @param entry the queue entry; empty when the request was rejected
   * @param expectedWait expected time until the request is dequeued
   */
  public record Admission<T>(Optional<Entry<T>> entry, Duration expectedWait) {}

  /**
   * Adds a request, or rejects it when its expected wait is longer than the longest wait allowed.
   *
   * @param size tokens that the request occupies at a target
   */
  public synchronized Admission<T> offer(
      T item, int priority, long size, Instant deadline, Instant now) {
    Duration maxWait = maxWait(deadline, now);
    Entry<T> entry = new Entry<>(item, priority, size, nextSequence, now.plus(maxWait));
    int ahead = countAhead(entry, now);
    Duration expected = Duration.ofMillis((long) ((ahead + 1) * meanGapMillis));
    if (expected.compareTo(maxWait) > 0) {
      return new Admission<>(Optional.empty(), expected);
    }
    nextSequence++;
    entries.add(entry);
    return new Admission<>(Optional.of(entry), expected);
  }

  private int countAhead(Entry<T> entry, Instant now) {
    Comparator<QueuedRequest> current = order.at(now);
    int ahead = 0;
    for (Entry<T> other : entries) {
      if (current.compare(other, entry) < 0) {
        ahead++;
      }
    }
    return ahead;
  }

  /** Returns the longest time for which a request with this deadline is queued. */
  public static Duration maxWait(Instant deadline, Instant now) {
    Duration callerLimit = Duration.between(now, deadline).dividedBy(CALLER_TIME_DIVISOR);
    return callerLimit.compareTo(MAX_WAIT) < 0 ? callerLimit : MAX_WAIT;
  }

  /**
   * Returns whether a request that arrives has to be queued, because an entry that is at least as
   * urgent and not larger is waiting. A large entry that waits for memory does not block smaller
   * requests.
   *
   * @param size tokens that the request occupies at a target
   */
  public synchronized boolean mustQueue(int priority, long size) {
    for (Entry<T> other : entries) {
      if (other.priority() <= priority && other.size() <= size) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the entries that are to be dispatched first.
   *
   * @param most largest number of entries to return
   */
  public synchronized List<Entry<T>> first(int most, Instant now) {
    entries.sort(order.at(now));
    return List.copyOf(entries.subList(0, Math.min(most, entries.size())));
  }

  /** Removes an entry; returns false when it is no longer queued. */
  public synchronized boolean remove(Entry<T> entry) {
    return entries.remove(entry);
  }

  public synchronized int size() {
    return entries.size();
  }

  /** Records the end of a request of the service, from which the expected wait is estimated. */
  public synchronized void recordEnded(Instant now) {
    if (!lastEndedAt.equals(Instant.MIN)) {
      double gap = Duration.between(lastEndedAt, now).toNanos() / 1e6;
      meanGapMillis += SMOOTHING_FACTOR * (Math.min(gap, MILLIS_PER_SECOND) - meanGapMillis);
    }
    lastEndedAt = now;
  }
}

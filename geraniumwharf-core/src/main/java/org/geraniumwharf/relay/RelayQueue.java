package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of requests of one service that wait for free capacity. Safe for use by several threads; no
 * other lock is taken while its lock is held.
 *
 * <p>Handles load peaks of a few seconds: a request waits only while its response can still be of
 * use. During a longer peak, requests are rejected at once, with the time after which capacity is
 * expected.
 *
 * @param <T> type of the queued requests
 */
public final class RelayQueue<T> {

  private final QueueRules rules;
  private final List<Entry<T>> entries = new ArrayList<>();
  private long nextSequence;

  private RelayQueue(QueueRules rules) {
    this.rules = rules;
  }

  /** Creates a queue that is ordered by priority and arrival. */
  public static <T> RelayQueue<T> create() {
    return inOrder(QueueOrder.byPriority());
  }

  /** Creates a queue with an order. */
  public static <T> RelayQueue<T> inOrder(QueueOrder order) {
    return new RelayQueue<>(new ArrivalRules(order));
  }

  /** Creates a queue with fair shares, which estimates waits by work. */
  public static <T> RelayQueue<T> fair() {
    return new RelayQueue<>(new FairRules());
  }

  /**
   * A queued request.
   *
   * @param item the request
   * @param profile what is known of it
   * @param sequence position in the order of arrival
   * @param queuedAt time from which it has been queued
   * @param expiresAt time at which the request is to leave the queue unserved
   */
  public record Entry<T>(
      T item, RequestProfile profile, long sequence, Instant queuedAt, Instant expiresAt)
      implements QueuedRequest {

    @Override
    public int priority() {
      return profile.priority();
    }

    @Override
    public long size() {
      return profile.size();
    }
  }

  /**
   * Result of an offer to the queue.
   *
   * @param entry the queue entry; empty when the request was rejected
   * @param expectedWait expected time until the request is dequeued
   * @param isFull whether the request was rejected because too many wait that go before it
   * @param displaced entries that were removed in favour of the request, and are to be refused
   */
  public record Admission<T>(
      Optional<Entry<T>> entry, Duration expectedWait, boolean isFull, List<Entry<T>> displaced) {}

  /**
   * Adds a request, or rejects it when its expected wait is longer than the longest wait allowed.
   *
   * @param size tokens that the request occupies at a target
   */
  public Admission<T> offer(T item, int priority, long size, Instant deadline, Instant now) {
    return offer(item, RequestProfile.of(priority, size, deadline), now);
  }

  /** Adds a request, or rejects it when its expected wait is longer than the longest allowed. */
  public synchronized Admission<T> offer(T item, RequestProfile profile, Instant now) {
    Entry<T> entry = entry(item, profile, now);
    Duration expected = rules.expectedWait(entry, entries, now);
    boolean isTooLate = now.plus(expected).isAfter(entry.expiresAt());
    if (isTooLate || !makeRoom(entry, now)) {
      return new Admission<>(Optional.empty(), expected, !isTooLate, List.of());
    }
    nextSequence++;
    entries.add(entry);
    return new Admission<>(Optional.of(entry), expected, false, removeDisplaced(entry, now));
  }

  private Entry<T> entry(T item, RequestProfile profile, Instant now) {
    return new Entry<>(item, profile, nextSequence, now, rules.latestDispatch(profile, now));
  }

  /** Returns whether there is room for a request, or an entry behind it that can be displaced. */
  private boolean makeRoom(Entry<T> entry, Instant now) {
    if (entries.size() < rules.maxWaiting()) {
      return true;
    }
    Comparator<QueuedRequest> current = rules.order(entries).at(now);
    return lastDisplaceable(current).filter(last -> current.compare(entry, last) < 0).isPresent();
  }

  /** Removes the entries that have no room, or no chance any more behind the others. */
  private List<Entry<T>> removeDisplaced(Entry<T> added, Instant now) {
    List<Entry<T>> displaced = new ArrayList<>();
    Comparator<QueuedRequest> current = rules.order(entries).at(now);
    Optional<Entry<T>> last = lastDisplaceable(current);
    while (last.isPresent()
        && last.get().sequence() != added.sequence()
        && isDisplaced(last.get(), now)) {
      entries.remove(last.get());
      displaced.add(last.get());
      last = lastDisplaceable(current);
    }
    return displaced;
  }

  private boolean isDisplaced(Entry<T> last, Instant now) {
    return entries.size() > rules.maxWaiting() || rules.isHopeless(last, entries, now);
  }

  private Optional<Entry<T>> lastDisplaceable(Comparator<QueuedRequest> order) {
    Entry<T> last = null;
    for (Entry<T> entry : entries) {
      boolean isLater = last == null || order.compare(entry, last) > 0;
      if (isLater && entry.profile().isDisplaceable()) {
        last = entry;
      }
    }
    return Optional.ofNullable(last);
  }

  /** Returns the longest time for which a request with this deadline is queued by its arrival. */
  public static Duration maxWait(Instant deadline, Instant now) {
    return ArrivalRules.maxWait(deadline, now);
  }

  /** Returns the time until which a request may wait. */
  public synchronized Instant latestDispatch(RequestProfile profile, Instant now) {
    return rules.latestDispatch(profile, now);
  }

  /** Returns the time that a target is expected to take for the whole response. */
  public synchronized Duration expectedResponse(RequestProfile profile) {
    return rules.expectedResponse(profile);
  }

  /** Returns the time until all requests that wait now have been dispatched. */
  public synchronized Duration drainTime(Instant now) {
    return rules.drainTime(entries, now);
  }

  /**
   * Returns whether a request that arrives has to be queued, because an entry that is at least as
   * urgent and not larger is waiting. A large entry that waits for memory does not block smaller
   * requests.
   *
   * @param size tokens that the request occupies at a target
   */
  public boolean mustQueue(int priority, long size) {
    return mustQueue(RequestProfile.of(priority, size, Instant.EPOCH), Instant.EPOCH);
  }

  /** Returns whether a request that arrives has to be queued behind another one. */
  public boolean mustQueue(RequestProfile profile, Instant now) {
    return mustQueue(profile, now, waiting -> true);
  }

  /**
   * Returns whether a request that arrives has to be queued behind another one.
   *
   * @param mayHoldUp whether a request that waits may be placed wherever the one that arrives may
   */
  public synchronized boolean mustQueue(
      RequestProfile profile, Instant now, Predicate<T> mayHoldUp) {
    if (entries.isEmpty()) {
      return false;
    }
    Entry<T> arrived = entry(null, profile, now);
    Comparator<QueuedRequest> current = rules.order(entries).at(now);
    for (Entry<T> other : entries) {
      if (mayHoldUp.test(other.item()) && rules.holdsUp(other, arrived, current)) {
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
    Comparator<QueuedRequest> current = rules.order(entries).at(now);
    List<Entry<T>> first = new ArrayList<>(Math.min(most, entries.size()) + 1);
    for (Entry<T> entry : entries) {
      insert(entry, first, current);
      if (first.size() > most) {
        first.remove(most);
      }
    }
    return first;
  }

  /** Inserts an entry into a short sorted list. */
  private static <T> void insert(
      Entry<T> entry, List<Entry<T>> sorted, Comparator<QueuedRequest> order) {
    int index = sorted.size();
    while (index > 0 && order.compare(entry, sorted.get(index - 1)) < 0) {
      index--;
    }
    sorted.add(index, entry);
  }

  /** Removes an entry; returns false when it is no longer queued. */
  public synchronized boolean remove(Entry<T> entry) {
    return entries.remove(entry);
  }

  public synchronized int size() {
    return entries.size();
  }

  /** Records a request that is sent to a target, whether it was queued or not. */
  public synchronized void recordDispatched(RequestProfile profile, Instant now) {
    rules.recordDispatched(profile, entries, now);
  }

  /** Records a request that is refused because the targets are busy. */
  public synchronized void recordRefused(RequestProfile profile, Instant now) {
    rules.recordRefused(profile, now);
  }

  /** Records the end of a request of the service, from which the expected wait is estimated. */
  public void recordEnded(Instant now) {
    recordEnded(RequestProfile.MIN_WORK, now);
  }

  /** Records the end of a request of the service, from which the expected wait is estimated. */
  public synchronized void recordEnded(double work, Instant now) {
    rules.recordEnded(work, !entries.isEmpty(), now);
  }

  /** Records the time that a target took for the first token or the response of a request. */
  public synchronized void recordFirstResponse(RequestProfile profile, Duration time) {
    rules.recordFirstResponse(profile, time.toNanos() / 1e6);
  }

  /** Records the time that a target took for the whole response of a request. */
  public synchronized void recordResponse(RequestProfile profile, Duration time) {
    rules.recordResponse(profile, time.toNanos() / 1e6);
  }
}

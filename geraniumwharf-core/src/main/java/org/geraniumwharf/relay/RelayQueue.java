package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests of one service that wait for a place, the most urgent first. Safe for use by several
 * threads; its lock is held while no other is taken.
 *
 * <p>Answers a crest that lasts a second or less: waiting is worth it while the answer can still be
 * on time or little later. A longer crest is refused at once, with the time after which room is
 * expected.
 *
 * @param <T> what waits
 */
public final class RelayQueue<T> {

  /** Longest wait that a request is taken in for, however long its caller would wait. */
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);

  /** Longest wait, relative to the time that the caller gives. */
  private static final int CALLER_TIME_DIVISOR = 4;

  /** Rate that is assumed before any request has ended, requests a second. */
  private static final double INITIAL_REQUESTS_PER_SECOND = 20;

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double MILLIS_PER_SECOND = 1000;

  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.<Entry<T>>comparingInt(Entry::priority).thenComparingLong(Entry::sequence));
  private long nextSequence;
  private double meanGapMillis = MILLIS_PER_SECOND / INITIAL_REQUESTS_PER_SECOND;
  private Instant lastEndedAt = Instant.MIN;

  /**
   * A request that waits.
   *
   * @param item what waits
   * @param priority rank, 0 first
   * @param size what it occupies at a target
   * @param sequence order of arrival
   * @param expiresAt time at which waiting ends
   */
  public record Entry<T>(T item, int priority, long size, long sequence, Instant expiresAt) {}

  /**
   * What became of a request that asked to wait.
   *
   * @param entry its place in the queue; empty when it was refused
   * @param expectedWait time until its turn
   */
  public record Admission<T>(Optional<Entry<T>> entry, Duration expectedWait) {}

  /** Takes a request in, or refuses it when its turn would come too late. */
  public synchronized Admission<T> offer(
      T item, int priority, long size, Instant deadline, Instant now) {
    Duration patience = Duration.between(now, deadline).dividedBy(CALLER_TIME_DIVISOR);
    Duration longest = patience.compareTo(MAX_WAIT) < 0 ? patience : MAX_WAIT;
    Entry<T> place = new Entry<>(item, priority, size, nextSequence, now.plus(longest));
    int ahead = entries.headSet(place).size();
    Duration expected = Duration.ofMillis((long) ((ahead + 1) * meanGapMillis));
    if (expected.compareTo(longest) > 0) {
      return new Admission<>(Optional.empty(), expected);
    }
    nextSequence++;
    entries.add(place);
    return new Admission<>(Optional.of(place), expected);
  }

  /**
   * Tells whether a request that arrives must let another go first: one that is as urgent and needs
   * no more room. A large one that waits for memory does not hold up small ones.
   */
  public synchronized boolean mustQueue(int priority, long size) {
    return entries.stream().anyMatch(other -> other.priority() <= priority && other.size() <= size);
  }

  /** Returns what waits, the most urgent first. */
  public synchronized List<Entry<T>> entriesInOrder() {
    return new ArrayList<>(entries);
  }

  /** Takes a request out; false when it is no longer waiting. */
  public synchronized boolean remove(Entry<T> place) {
    return entries.remove(place);
  }

  public synchronized int size() {
    return entries.size();
  }

  /** Notes that a request of the service ended, which tells how fast places come free. */
  public synchronized void recordEnded(Instant now) {
    if (!lastEndedAt.equals(Instant.MIN)) {
      double gap = Duration.between(lastEndedAt, now).toNanos() / 1e6;
      meanGapMillis += SMOOTHING_FACTOR * (Math.min(gap, MILLIS_PER_SECOND) - meanGapMillis);
    }
    lastEndedAt = now;
  }
}

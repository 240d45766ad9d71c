package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which control instances are watched at a time: one while it has news, and one more every
 * {@link #STAGGER} while none has. Used by one thread.
 *
 * <p>News is a message of an index not below the view's, and counts from the time at which a quorum
 * confirmed it, not from its arrival.
 */
final class WatchPlan {

  /**
   * Time without news after which others are watched too. With two lost instances before the first
   * that has news, a change comes {@code NEWS_TIMEOUT + STAGGER} and a connection after it was
   * confirmed; it must be in force after 2 s. In the calm news is up to 570 ms old before the next
   * comes: two heartbeats of the leader and the interval between two messages of a watch.
   */
  static final Duration NEWS_TIMEOUT = Duration.ofMillis(900);

  static final Duration STAGGER = Duration.ofMillis(150);

  /**
   * Instead of {@link #STAGGER} without a view, beyond the first {@link #EARLY_WATCHES}, since each
   * watch then begins with a whole one.
   */
  static final Duration STAGGER_WITHOUT_VIEW = NEWS_TIMEOUT;

  /**
   * Instances that are watched early without a view: after a restart of all the first one may be
   * the last that is ready.
   */
  static final int EARLY_WATCHES = 2;

  /** Time before an instance is watched again whose watch ended by itself. */
  static final Duration RETRY_PAUSE = Duration.ofMillis(500);

  /** The same without a view, when an instance that refuses connections is about to start. */
  static final Duration RETRY_PAUSE_WITHOUT_VIEW = Duration.ofMillis(100);

  /**
   * Time after which the preferred instance is tried again beside another one that has news. After
   * a loss of all instances the first that has news is kept by every daemon.
   */
  static final Duration RETURN_INTERVAL = Duration.ofSeconds(10);

  /** Next candidate first; an instance that was given up goes to the end. */
  private final List<String> order = new ArrayList<>();

  /** Instances that are watched, the first one first. */
  private final Map<String, Instant> watchedSince = new LinkedHashMap<>();

  private final Map<String, Instant> endedAt = new HashMap<>();
  private Instant newsAt;
  private Instant lastStart = Instant.MIN;

  private WatchPlan(Instant now) {
    this.newsAt = now;
  }

  static WatchPlan start(Instant now) {
    return new WatchPlan(now);
  }

  /**
   * Returns the instance to watch now, if any, and takes it as watched.
   *
   * @param known instances in the order in which those that are new here are tried; the first one
   *     is preferred
   * @param hasView whether any view was received yet
   */
  Optional<String> next(List<String> known, boolean hasView, Instant now) {
    updateOrder(known);
    if (isReturnDue(known, now)) {
      return Optional.of(watch(known.get(0), now));
    }
    if (!isDue(hasView, now)) {
      return Optional.empty();
    }
    Duration pause = hasView ? RETRY_PAUSE : RETRY_PAUSE_WITHOUT_VIEW;
    Optional<String> next =
        order.stream().filter(name -> isCandidate(name, pause, now)).findFirst();
    return next.map(name -> watch(name, now));
  }

  private String watch(String name, Instant now) {
    watchedSince.put(name, now);
    lastStart = now;
    return name;
  }

  private boolean isReturnDue(List<String> known, Instant now) {
    return !known.isEmpty()
        && watchedSince.size() == 1
        && !watchedSince.containsKey(known.get(0))
        && isNews(newsAt, now)
        && !now.isBefore(lastStart.plus(RETURN_INTERVAL));
  }

  private void updateOrder(List<String> known) {
    order.retainAll(known);
    known.stream().filter(name -> !order.contains(name)).forEach(order::add);
  }

  private boolean isDue(boolean hasView, Instant now) {
    if (watchedSince.isEmpty()) {
      return true;
    }
    if (!hasView && watchedSince.size() < EARLY_WATCHES) {
      return !now.isBefore(lastStart.plus(STAGGER));
    }
    Duration stagger = hasView ? STAGGER : STAGGER_WITHOUT_VIEW;
    return !isNews(newsAt, now) && !now.isBefore(lastStart.plus(stagger));
  }

  private boolean isCandidate(String name, Duration pause, Instant now) {
    Instant ended = endedAt.get(name);
    return !watchedSince.containsKey(name) && (ended == null || !now.isBefore(ended.plus(pause)));
  }

  /** Tells whether a view that was confirmed at a time counts as news. */
  static boolean isNews(Instant confirmedAt, Instant now) {
    return now.isBefore(confirmedAt.plus(NEWS_TIMEOUT));
  }

  /** Takes the end of a watch that was not given up here. */
  void ended(String name, Instant now) {
    watchedSince.remove(name);
    endedAt.put(name, now);
    moveToEnd(name);
  }

  /**
   * Takes a message of a watched instance, of an index not below the view's.
   *
   * @return the instances whose watches are given up, since this one has news
   */
  List<String> received(String name, Instant confirmedAt, Instant now) {
    if (!isNews(confirmedAt, now) || !watchedSince.containsKey(name)) {
      return List.of();
    }
    newsAt = confirmedAt.isAfter(newsAt) ? confirmedAt : newsAt;
    List<String> givenUp = new ArrayList<>(watchedSince.keySet());
    givenUp.remove(name);
    // The instance that has been silent for longest is tried last.
    for (int i = givenUp.size() - 1; i >= 0; i--) {
      moveToEnd(givenUp.get(i));
    }
    givenUp.forEach(watchedSince::remove);
    return givenUp;
  }

  private void moveToEnd(String name) {
    if (order.remove(name)) {
      order.add(name);
    }
  }
}

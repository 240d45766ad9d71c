package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;

/**
 * Rules that count work: the expected wait is the work that goes before a request over the rate at
 * which work ends. The order is a {@link FairOrder}. Handles overload, floods of one organisation
 * or key, callers that retry at once, and the backlog after an outage.
 */
final class FairRules implements QueueRules {

  /**
   * Longest wait. With 4 s, replays of an outage refuse twice as many requests after they waited;
   * the memory is bounded by the number of requests.
   */
  private static final double MAX_WAIT_MILLIS = 8000;

  /** Time that a response needs besides that at its target, ms. */
  private static final double OVERHEAD_MILLIS = 10;

  /** Factor by which the time of a target is expected to exceed its mean when it counts. */
  private static final double SERVICE_TIME_MARGIN = 1.25;

  /**
   * Part of the caller's time that the expected time of a target may take. Times measured under
   * overload would otherwise keep requests from targets that could serve them now.
   */
  private static final double MAX_SERVICE_PART = 0.5;

  /** Factor for the expected wait, since requests that arrive later may go before. */
  private static final double WAIT_MARGIN = 1.5;

  /** A queue of more requests costs more processor time than their service is worth. */
  private static final int MAX_WAITING = 256;

  /** Part of the dispatched work for requests that can no longer meet their goal. */
  private static final double LATE_PART = 0.1;

  /** Part of its cost that a refused request is charged to its organisation. */
  private static final double REFUSED_PART = 0.25;

  /** Ratio of expected to available time from which a request that waits has no chance. */
  private static final double HOPELESS_RATIO = 1.25;

  /** Requests of mean work that any organisation may have dispatched within its share. */
  private static final double MIN_SHARE_REQUESTS = 2;

  /** Part of the recent work that requests with one key may have before they go behind others. */
  private static final double KEY_PART = 0.1;

  /** Requests of mean work that any key may have had dispatched before it counts as hot. */
  private static final double MIN_KEY_REQUESTS = 4;

  /** Ratio to the mean work of its kind from which a request counts as a large one. */
  private static final double LARGE_RATIO = 1.5;

  /** Priorities beyond this are as urgent as this one for the expected wait. */
  private static final int MAX_COUNTED_PRIORITY = 16;

  /** Part of the recent work that counts as more urgent at most, so that no wait is infinite. */
  private static final double MAX_URGENT_PART = 0.9;

  private final WorkRate rate = new WorkRate();
  private final RequestTimes firstResponses = new RequestTimes();
  private final RequestTimes responses = new RequestTimes();
  private final RecentCost organisations = new RecentCost();
  private final RecentCost keys = new RecentCost();
  private final ServedShares served = new ServedShares();

  private final RecentCost priorities = new RecentCost();

  /** Work that requests that can no longer meet their goal may have dispatched before others. */
  private double lateCredit;

  // ----------------------------------------------------------- what the order asks

  /** Returns the time that is left to dispatch a request that meets its goal, ms. */
  double slackMillis(RequestProfile profile, Instant now) {
    double service = SERVICE_TIME_MARGIN * firstResponses.expectedMillis(profile) + OVERHEAD_MILLIS;
    double whole = Elapsed.millis(now, profile.goalAt());
    return whole - service;
  }

  /** Returns the time in which an amount of work ends, ms. */
  double workMillis(double work, boolean isAnyWaiting, Instant now) {
    return rate.millis(work, isAnyWaiting, now);
  }

  /** Returns the time in which a request of mean work ends, ms. */
  double requestMillis(Instant now) {
    return rate.millis(rate.meanWork(), false, now);
  }

  double meanWork() {
    return rate.meanWork();
  }

  boolean isLateDue() {
    return lateCredit >= rate.meanWork();
  }

  /** Returns the recent cost of the organisation or key of a request over its fair share. */
  double relativeShare(RequestProfile profile) {
    return Math.max(organisationShare(profile), keyShare(profile));
  }

  private double organisationShare(RequestProfile profile) {
    double share = Math.max(organisations.equalShare(), MIN_SHARE_REQUESTS * rate.meanWork());
    return organisations.of(profile.organisation()) / share;
  }

  private double keyShare(RequestProfile profile) {
    if (profile.key().isEmpty()) {
      return 0;
    }
    double share = Math.max(KEY_PART * keys.total(), MIN_KEY_REQUESTS * rate.meanWork());
    return keys.of(profile.key()) / share;
  }

  boolean isStarved(RequestProfile profile) {
    return served.isStarved(profile.kind())
        || (isLarge(profile) && served.isStarved(largeKind(profile)));
  }

  private boolean isLarge(RequestProfile profile) {
    return responses.isLarge(profile, LARGE_RATIO);
  }

  private static String largeKind(RequestProfile profile) {
    return profile.kind() + "/large";
  }

  // ---------------------------------------------------------------------- rules

  @Override
  public QueueOrder order(Collection<? extends QueuedRequest> waiting) {
    return new FairOrder(this, waiting);
  }

  @Override
  public Instant latestDispatch(RequestProfile profile, Instant now) {
    double remaining = Elapsed.millis(now, profile.deadline());
    double service = SERVICE_TIME_MARGIN * responses.expectedMillis(profile) + OVERHEAD_MILLIS;
    double latest = remaining - Math.min(service, MAX_SERVICE_PART * Math.abs(remaining));
    return now.plusMillis((long) Math.max(0, Math.min(latest, MAX_WAIT_MILLIS)));
  }

  @Override
  public Duration expectedResponse(RequestProfile profile) {
    return Duration.ofMillis((long) responses.expectedMillis(profile));
  }

  /**
   * Behind the work that goes first now comes the more urgent work that arrives meanwhile. While
   * capacity is short, a request that will miss its goal also waits behind the others that did, and
   * these get a part of the rate only.
   */
  @Override
  public Duration expectedWait(
      QueuedRequest offered, Collection<? extends QueuedRequest> waiting, Instant now) {
    RequestProfile profile = offered.profile();
    rate.recordOffered(profile.work());
    FairOrder order = new FairOrder(this, waiting);
    Comparator<QueuedRequest> current = order.at(now);
    double ahead = rate.meanWork();
    double late = profile.work();
    for (QueuedRequest other : waiting) {
      double work = other.profile().work();
      late += slackMillis(other.profile(), now) < 0 ? work : 0;
      ahead += current.compare(other, offered) < 0 ? work : 0;
    }
    boolean isAny = !waiting.isEmpty();
    double millis = rate.millis(ahead, isAny, now) / remainingPart(profile.priority());
    boolean isLate = millis > slackMillis(profile, now);
    if (isLate && order.isCapacityShort(now)) {
      millis = Math.max(millis, rate.millis(late, isAny, now) / LATE_PART);
    }
    return Duration.ofMillis((long) (WAIT_MARGIN * millis));
  }

  /** Returns the part of the recent work that was not more urgent than a priority. */
  private double remainingPart(int priority) {
    double urgent = 0;
    for (int more = 0; more < Math.min(priority, MAX_COUNTED_PRIORITY); more++) {
      urgent += priorities.of(Integer.toString(more));
    }
    return 1 - MAX_URGENT_PART * urgent / Math.max(1, priorities.total());
  }

  @Override
  public Duration drainTime(Collection<? extends QueuedRequest> waiting, Instant now) {
    return Duration.ofMillis((long) rate.millis(workOf(waiting), !waiting.isEmpty(), now));
  }

  private static double workOf(Collection<? extends QueuedRequest> waiting) {
    double work = 0;
    for (QueuedRequest request : waiting) {
      work += request.profile().work();
    }
    return work;
  }

  @Override
  public int maxWaiting() {
    return MAX_WAITING;
  }

  @Override
  public boolean isHopeless(
      QueuedRequest last, Collection<? extends QueuedRequest> waiting, Instant now) {
    double ahead = workOf(waiting) - last.profile().work();
    double millis = rate.millis(Math.max(0, ahead), true, now);
    return millis > HOPELESS_RATIO * Elapsed.atLeastZeroMillis(now, last.expiresAt());
  }

  /** A large request that waits for memory blocks smaller ones only if its kind starves. */
  @Override
  public boolean holdsUp(
      QueuedRequest waiting, QueuedRequest arrived, Comparator<QueuedRequest> order) {
    boolean blocks = waiting.size() <= arrived.size() || isStarved(waiting.profile());
    return blocks && order.compare(waiting, arrived) < 0;
  }

  // ---------------------------------------------------------------- observations

  @Override
  public void recordDispatched(
      RequestProfile profile, Collection<? extends QueuedRequest> waiting, Instant now) {
    rate.recordOffered(profile.work());
    recordServed(profile, true, now);
    organisations.add(profile.organisation(), profile.work(), now);
    priorities.add(Integer.toString(profile.priority()), profile.work(), now);
    if (!profile.key().isEmpty()) {
      keys.add(profile.key(), profile.work(), now);
    }
    updateLateCredit(profile, waiting, now);
  }

  private void updateLateCredit(
      RequestProfile profile, Collection<? extends QueuedRequest> waiting, Instant now) {
    if (slackMillis(profile, now) < 0) {
      lateCredit -= profile.work();
    } else if (isAnyLate(waiting, now)) {
      lateCredit += profile.work() * LATE_PART / (1 - LATE_PART);
    } else {
      lateCredit = 0;
    }
    double bound = RequestProfile.MAX_WORK;
    lateCredit = Math.max(-bound, Math.min(bound, lateCredit));
  }

  private boolean isAnyLate(Collection<? extends QueuedRequest> waiting, Instant now) {
    for (QueuedRequest request : waiting) {
      if (slackMillis(request.profile(), now) < 0) {
        return true;
      }
    }
    return false;
  }

  @Override
  public void recordRefused(RequestProfile profile, Instant now) {
    rate.recordOffered(profile.work());
    recordServed(profile, false, now);
    organisations.add(profile.organisation(), REFUSED_PART * profile.work(), now);
  }

  private void recordServed(RequestProfile profile, boolean isServed, Instant now) {
    organisations.age(now);
    double weight = 1 / Math.max(1, organisationShare(profile));
    served.record(profile.kind(), weight, isServed, now);
    if (isLarge(profile)) {
      served.recordPart(largeKind(profile), weight, isServed);
    }
  }

  @Override
  public void recordEnded(double work, boolean isAnyWaiting, Instant now) {
    rate.recordEnded(work, isAnyWaiting, now);
  }

  @Override
  public void recordFirstResponse(RequestProfile profile, double millis) {
    firstResponses.record(profile, millis);
  }

  @Override
  public void recordResponse(RequestProfile profile, double millis) {
    responses.record(profile, millis);
  }
}

package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * Permits that an entry holds for one limited target, and its demand for more. Not thread-safe.
 *
 * <p>Without an answer of the leader for some time, the entry uses a share of the limit of its own.
 */
final class PermitStock {

  /** Time after the last answer of the leader from which the entry uses its own share. */
  private static final Duration ANSWER_VALIDITY = Duration.ofSeconds(1);

  /** Time by whose requests those of the near future are estimated. */
  private static final Duration RECENT = Duration.ofMillis(300);

  /** Time from when a permit can be issued to when a report of this entry gets it. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(200);

  private static final double MILLIS_PER_SECOND = 1000;
  private static final int MAX_RECENT_REQUESTS = 1024;

  private final TargetLimit limit;
  private final Queue<Instant> expiries = new PriorityQueue<>(Comparator.naturalOrder());
  private final Set<String> waiting = new LinkedHashSet<>();
  private final Deque<Instant> recentRequests = new ArrayDeque<>();
  private final LocalShare localShare;
  private final Instant createdAt;
  private Instant answeredAt;
  private Duration wait = Duration.ZERO;
  private Duration firstWait = Duration.ZERO;
  private long expiredCount;

  private PermitStock(TargetLimit limit, LocalShare localShare, Instant now) {
    this.limit = limit;
    this.localShare = localShare;
    this.createdAt = now;
    this.answeredAt = now;
  }

  static PermitStock create(TargetLimit limit, String instance, Instant now) {
    return new PermitStock(
        limit, LocalShare.of(limit.target(), instance, limit.requestsPerSecond()), now);
  }

  TargetLimit limit() {
    return limit;
  }

  /** Returns whether a request may be sent. */
  boolean isAvailable(int instances, Instant now) {
    removeExpired(now);
    return !expiries.isEmpty() || (isLocal(now) && localShare.isAvailable(instances, now));
  }

  private boolean isLocal(Instant now) {
    if (!now.isAfter(localFrom())) {
      return false;
    }
    localShare.start(localFrom());
    return true;
  }

  private Instant localFrom() {
    return answeredAt.plus(ANSWER_VALIDITY);
  }

  private void removeExpired(Instant now) {
    while (!expiries.isEmpty() && !now.isBefore(expiries.peek())) {
      expiries.remove();
      expiredCount++;
    }
  }

  /** Takes a permit; empty if none is available. */
  Optional<Permit> take(int instances, Instant now) {
    if (!isAvailable(instances, now)) {
      return Optional.empty();
    }
    recordRequest(now);
    Instant expiry = expiries.poll();
    if (expiry == null) {
      localShare.take(instances, now);
      return Optional.of(permit(now.plus(PermitIssuer.VALIDITY)));
    }
    return Optional.of(permit(expiry));
  }

  private Permit permit(Instant expiry) {
    return new Permit(limit.target(), limit.incarnation(), Optional.of(expiry));
  }

  /** Takes back a permit that was not used. */
  void giveBack(Permit unused) {
    unused.expiresAt().ifPresent(expiries::add);
  }

  /** Records a request that found no permit and goes on waiting for one. */
  boolean addWaiting(String requestId, Instant now) {
    boolean isNew = waiting.add(requestId);
    if (isNew) {
      recordRequest(now);
    }
    return isNew;
  }

  void removeWaiting(String requestId) {
    waiting.remove(requestId);
  }

  /** Records a request that was sent, or that found no permit. */
  void recordRequest(Instant now) {
    recentRequests.add(now);
    if (recentRequests.size() > MAX_RECENT_REQUESTS) {
      recentRequests.remove();
    }
  }

  /** Returns the time at which a request, which may be waiting, is expected to get a permit. */
  Instant expectedAt(String requestId, int instances, Instant now) {
    if (isAvailable(instances, now)) {
      return now;
    }
    int ahead = countAhead(requestId);
    if (isLocal(now)) {
      return now.plus(localShare.wait(ahead, instances, now));
    }
    Duration waitOfOwn =
        Duration.ofMillis((long) (ahead * MILLIS_PER_SECOND / limit.requestsPerSecond()));
    Instant expected = answeredAt.plus(wait).plus(waitOfOwn);
    return expected.isAfter(now) ? expected.plus(REPORT_DELAY) : now;
  }

  /** Returns the time before which no request that waits gets a permit. */
  Instant earliestAt(int instances, Instant now) {
    if (isAvailable(instances, now)) {
      return now;
    }
    Instant earliest =
        isLocal(now) ? now.plus(localShare.wait(0, instances, now)) : answeredAt.plus(firstWait);
    return earliest.isAfter(now) ? earliest : now;
  }

  private int countAhead(String requestId) {
    int ahead = 0;
    for (String other : waiting) {
      if (other.equals(requestId)) {
        return ahead;
      }
      ahead++;
    }
    return ahead;
  }

  /** Returns the permits that the entry could use besides those that it holds. */
  PermitDemand demand(Instant now) {
    removeExpired(now);
    while (!recentRequests.isEmpty() && now.isAfter(recentRequests.peek().plus(RECENT))) {
      recentRequests.remove();
    }
    int most = (int) Math.ceil(limit.requestsPerSecond() * RECENT.toMillis() / MILLIS_PER_SECOND);
    int expected = Math.min(most, recentRequests.size());
    int held = expiries.size();
    int heldByWaiting = Math.min(held, waiting.size());
    return PermitDemand.of(
        limit.target(),
        limit.incarnation(),
        waiting.size() - heldByWaiting,
        Math.max(0, expected - (held - heldByWaiting)));
  }

  /**
   * Applies an answer of the leader, unless its report is older than the limit.
   *
   * @param reportedAt time at which the demand was reported
   */
  void answered(PermitGrant grant, Instant reportedAt, Instant now) {
    if (reportedAt.isBefore(createdAt)) {
      return;
    }
    answeredAt = now;
    wait = Duration.ofMillis(grant.waitMillis());
    firstWait = Duration.ofMillis(grant.firstWaitMillis());
    localShare.stop();
    for (int i = 0; i < grant.permits(); i++) {
      expiries.add(reportedAt.plus(PermitIssuer.VALIDITY));
    }
    removeExpired(now);
  }

  long expiredCount() {
    return expiredCount;
  }
}

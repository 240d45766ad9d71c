package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.objects.ColdLimit;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * What an instance knows of cold targets: until when they are cold, its rank among the entry
 * instances, and its own requests of the last second to each. Safe for use by several threads; no
 * other lock is taken while its lock is held.
 *
 * <p>Handles many targets that become cold at once while all instances have requests for them: each
 * instance sends its share only, and nothing without a recent rank.
 */
public final class ColdTargets {

  /**
   * Time for which a request counts: one second, and 50 ms since two requests may take different
   * time on their way.
   */
  static final Duration COUNTED_SECOND = Duration.ofMillis(1050);

  /** Longest time for which a target is taken to be cold because of a response. */
  private static final Duration MAX_STATED = Duration.ofMinutes(2);

  /** Allowances of one target that are looked ahead for the expected time of a request. */
  private static final int MAX_LOOKED_AHEAD = 8;

  private final Optional<ColdBounds> bounds;

  /** Time from which no request of an earlier process of this instance counts any more. */
  private final Instant sendsFrom;

  private final Map<String, Deque<Instant>> sends = new HashMap<>();
  private volatile Map<String, ColdEnd> announced = Map.of();
  private volatile Map<String, ColdEnd> stated = Map.of();
  private Optional<EntryRank> rank = Optional.empty();
  private Instant rankExpiresAt = Instant.MIN;
  private Counts counts = new Counts(0, 0);

  private ColdTargets(Optional<ColdBounds> bounds, Instant startedAt) {
    this.bounds = bounds;
    this.sendsFrom = startedAt.plus(COUNTED_SECOND);
  }

  /** Creates a table that excludes no target. */
  public static ColdTargets unlimited() {
    return new ColdTargets(Optional.empty(), Instant.EPOCH);
  }

  /**
   * Creates a table.
   *
   * @param bounds bounds of the requests to a cold target; empty if there are none
   * @param startedAt start of the process
   */
  public static ColdTargets within(Optional<ColdBounds> bounds, Instant startedAt) {
    return new ColdTargets(bounds, startedAt);
  }

  /**
   * Numbers since the start of the process.
   *
   * @param sent requests sent to cold targets
   * @param withheld requests that had been placed at a cold target and were placed again, because
   *     the allowance had been used when they were to be sent
   */
  public record Counts(long sent, long withheld) {}

  /** Returns whether the requests to cold targets of a service are limited. */
  public boolean isLimited(RelayService service) {
    return bounds.isPresent() && service.cold().isPresent();
  }

  /** Replaces the ends that the view shows, by the id of the target. */
  public void replaceAnnounced(Map<String, ColdEnd> ends) {
    announced = Map.copyOf(ends);
  }

  /** Records that a target stated in a response for how long it is cold from now on. */
  public synchronized void recordStated(RelayTarget target, Duration left, Instant now) {
    if (bounds.isEmpty() || left.isNegative() || left.isZero()) {
      return;
    }
    Duration bounded = left.compareTo(MAX_STATED) < 0 ? left : MAX_STATED;
    Map<String, ColdEnd> next = new HashMap<>(stated);
    next.values().removeIf(end -> !now.isBefore(end.until()));
    next.put(target.id(), new ColdEnd(target.incarnation(), now.plus(bounded)));
    stated = next;
  }

  /**
   * Records the rank of this instance.
   *
   * @param askedAt time when the instance asked for it
   * @return whether the instance has another rank than before
   */
  public synchronized boolean recordRank(Optional<EntryRank> newRank, Instant askedAt) {
    boolean isOther = !newRank.equals(rank);
    rank = newRank;
    rankExpiresAt = askedAt.plus(EntryRanks.VALIDITY);
    return isOther;
  }

  /** Forgets the requests to targets that are not in the given set. */
  public synchronized void retainTargets(Set<String> targets) {
    sends.keySet().retainAll(targets);
  }

  /** Returns the number of targets that are cold. */
  public int coldCount(Instant now) {
    Set<String> cold = new HashSet<>();
    announced.forEach((id, end) -> addIfCold(cold, id, end, now));
    stated.forEach((id, end) -> addIfCold(cold, id, end, now));
    return cold.size();
  }

  private static void addIfCold(Set<String> cold, String id, ColdEnd end, Instant now) {
    if (now.isBefore(end.until())) {
      cold.add(id);
    }
  }

  public synchronized Counts counts() {
    return counts;
  }

  // ----------------------------------------------------------------- decisions

  /** Returns why no request may be sent to a target now; empty if it is warm or has allowance. */
  Optional<Exclusion> exclusion(RelayTarget target, RelayService service, Instant now) {
    Optional<Instant> coldUntil = coldUntil(target, service, now);
    if (coldUntil.isEmpty()) {
      return Optional.empty();
    }
    Instant opensAt = opensAt(target, service.cold().orElseThrow(), coldUntil.get(), now);
    return opensAt.isAfter(now)
        ? Exclusion.until(Exclusion.Reason.COLD, opensAt)
        : Optional.empty();
  }

  /** Returns until when a target is cold; empty if it is warm or its service has no limit. */
  private Optional<Instant> coldUntil(RelayTarget target, RelayService service, Instant now) {
    boolean isNoneCold = announced.isEmpty() && stated.isEmpty();
    if (isNoneCold || !isLimited(service)) {
      return Optional.empty();
    }
    ColdEnd none = new ColdEnd(target.incarnation(), Instant.MIN);
    ColdEnd shown = announced.getOrDefault(target.id(), none);
    Instant until = ColdEnd.later(shown, stated.getOrDefault(target.id(), none)).until();
    return now.isBefore(until) ? Optional.of(until) : Optional.empty();
  }

  /** Returns when a request may be sent to a cold target; not later than the end of its time. */
  private synchronized Instant opensAt(
      RelayTarget target, ColdLimit limit, Instant coldUntil, Instant now) {
    int share = share(target, limit, now);
    if (share == 0) {
      return coldUntil;
    }
    Instant next = nextAllowance(target.id(), share, countedTime(limit), now);
    return next.isBefore(coldUntil) ? next : coldUntil;
  }

  private int share(RelayTarget target, ColdLimit limit, Instant now) {
    if (rank.isEmpty() || !now.isBefore(rankExpiresAt)) {
      return 0;
    }
    return ColdShare.of(rank.get(), target.hash(), bounds.orElseThrow().divided(limit.perSecond()));
  }

  private Instant nextAllowance(String target, int share, Duration counted, Instant now) {
    Instant earliest = now.isBefore(sendsFrom) ? sendsFrom : now;
    Deque<Instant> own = sends.get(target);
    if (own == null || own.size() < share) {
      return earliest;
    }
    int skipped = own.size() - share;
    Instant first = earliest;
    for (Instant sentAt : own) {
      if (skipped-- == 0) {
        first = sentAt.plus(counted);
        break;
      }
    }
    return first.isAfter(earliest) ? first : earliest;
  }

  /** Returns the time for which a request counts; longer at less than one request per second. */
  private static Duration countedTime(ColdLimit limit) {
    double seconds = 1 / Math.min(1, limit.perSecond());
    double nanos = Math.min(COUNTED_SECOND.toNanos() * seconds, (double) MAX_STATED.toNanos());
    return Duration.ofNanos((long) nanos);
  }

  /**
   * Counts a request that is about to be sent.
   *
   * @return false if the target is cold and the request must not be sent to it now
   */
  public synchronized boolean trySend(RelayTarget target, RelayService service, Instant now) {
    Optional<Instant> coldUntil = coldUntil(target, service, now);
    if (coldUntil.isEmpty()) {
      return true;
    }
    ColdLimit limit = service.cold().orElseThrow();
    if (opensAt(target, limit, coldUntil.get(), now).isAfter(now)) {
      counts = new Counts(counts.sent(), counts.withheld() + 1);
      return false;
    }
    Deque<Instant> own = sends.computeIfAbsent(target.id(), id -> new ArrayDeque<>());
    Instant countedFrom = now.minus(countedTime(limit));
    own.removeIf(sentAt -> !sentAt.isAfter(countedFrom));
    own.add(now);
    counts = new Counts(counts.sent() + 1, counts.withheld());
    return true;
  }

  /** Takes back a request that its target did not count, since it was meant for another one. */
  public synchronized void withdraw(RelayTarget target, Instant sentAt) {
    Deque<Instant> own = sends.get(target.id());
    if (own != null) {
      own.removeLastOccurrence(sentAt);
    }
  }

  /**
   * Returns when a request that finds only cold targets can be sent, behind others that wait for
   * the same targets.
   *
   * @param ahead number of requests that wait already
   */
  public synchronized Instant expectedAt(
      Collection<RelayTarget> targets, RelayService service, int ahead, Instant now) {
    Instant firstWarm = Instant.MAX;
    List<Instant> allowances = new ArrayList<>();
    for (RelayTarget target : targets) {
      Instant coldUntil = coldUntil(target, service, now).orElse(now);
      firstWarm = coldUntil.isBefore(firstWarm) ? coldUntil : firstWarm;
      addAllowances(allowances, target, service, coldUntil, ahead, now);
    }
    allowances.sort(null);
    Instant turn = ahead < allowances.size() ? allowances.get(ahead) : Instant.MAX;
    return turn.isBefore(firstWarm) ? turn : firstWarm;
  }

  private void addAllowances(
      List<Instant> allowances,
      RelayTarget target,
      RelayService service,
      Instant coldUntil,
      int ahead,
      Instant now) {
    if (!coldUntil.isAfter(now)) {
      return;
    }
    ColdLimit limit = service.cold().orElseThrow();
    int share = share(target, limit, now);
    Instant next = opensAt(target, limit, coldUntil, now);
    for (int i = 0; share > 0 && i <= Math.min(ahead, MAX_LOOKED_AHEAD); i++) {
      Instant at = next.plus(countedTime(limit).multipliedBy(i / share));
      if (at.isBefore(coldUntil)) {
        allowances.add(at);
      }
    }
  }
}

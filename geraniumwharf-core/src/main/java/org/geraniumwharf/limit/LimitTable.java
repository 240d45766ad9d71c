package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest known limit of each target. Limits that ended are kept for a while, so that an older
 * report does not bring them back. Not thread-safe.
 */
public final class LimitTable {

  /** Time for which an ended limit, or one of a target that is not announced, is kept. */
  private static final Duration RETENTION = Duration.ofMinutes(1);

  private final Map<String, TargetLimit> limits = new HashMap<>();
  private final Map<String, Instant> announcedAt = new HashMap<>();

  private LimitTable() {}

  public static LimitTable create() {
    return new LimitTable();
  }

  /**
   * Records what a response states. It was formed at some time between those at which its request
   * was sent and it was received, so a limit that begins or becomes lower counts from the reception
   * and one that ends or becomes higher from the sending: a response to an earlier request never
   * ends or raises a limit.
   *
   * @return the change; empty if the table did not change
   */
  public Optional<TargetLimit> recordResponse(
      String target, long incarnation, RequestLimit limit, Instant sentAt, Instant receivedAt) {
    RequestLimit before =
        find(target, incarnation).map(TargetLimit::limit).orElseGet(RequestLimit::none);
    Instant since = limit.isLowerThan(before) ? receivedAt : sentAt;
    return recordReport(new TargetLimit(target, incarnation, limit, since), receivedAt);
  }

  /**
   * Records a limit unless a newer one is known.
   *
   * @return the change; empty if the table did not change
   */
  public Optional<TargetLimit> recordReport(TargetLimit reported, Instant now) {
    Optional<TargetLimit> known = Optional.ofNullable(limits.get(reported.target()));
    if (!isNews(reported, known)) {
      return Optional.empty();
    }
    limits.put(reported.target(), reported);
    announcedAt.put(reported.target(), now);
    return Optional.of(reported);
  }

  private static boolean isNews(TargetLimit reported, Optional<TargetLimit> known) {
    if (known.isEmpty() || reported.incarnation() > known.get().incarnation()) {
      return reported.limit().isPresent();
    }
    return reported.incarnation() == known.get().incarnation()
        && !reported.limit().equals(known.get().limit())
        && reported.since().isAfter(known.get().since());
  }

  /** Returns the newest limit of a target, which may have ended. */
  public Optional<TargetLimit> find(String target) {
    return Optional.ofNullable(limits.get(target));
  }

  private Optional<TargetLimit> find(String target, long incarnation) {
    return find(target).filter(known -> known.incarnation() == incarnation);
  }

  /** Returns the limit of a process; empty if it has none. */
  public Optional<TargetLimit> inForce(String target, long incarnation) {
    return find(target, incarnation).filter(known -> known.limit().isPresent());
  }

  /** Returns all limits, with those that ended lately. */
  public Collection<TargetLimit> all() {
    return List.copyOf(limits.values());
  }

  /** Removes limits that ended some time ago or whose targets have not been announced for long. */
  public void retainTargets(Set<String> announced, Instant now) {
    limits.keySet().stream()
        .filter(announced::contains)
        .forEach(target -> announcedAt.put(target, now));
    limits
        .values()
        .removeIf(
            known ->
                isOver(announcedAt.get(known.target()), now)
                    || (!known.limit().isPresent() && isOver(known.since(), now)));
    announcedAt.keySet().retainAll(limits.keySet());
  }

  private static boolean isOver(Instant time, Instant now) {
    return now.isAfter(time.plus(RETENTION));
  }
}

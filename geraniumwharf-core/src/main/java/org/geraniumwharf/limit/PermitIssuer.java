package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * Issues permits for limited targets to the entry instances, by the demand that they report. Used
 * by the leader only. Not thread-safe.
 *
 * <p>A permit that is not used within {@link #VALIDITY} expires, also if the answer that carries it
 * was lost, so a target gets in any time {@code t} at most the permits that are issued in {@code t}
 * and the validity before it. A new leader starts without permits.
 */
public final class PermitIssuer {

  /** Time from the report of a demand in which the permits that it got may be used. */
  public static final Duration VALIDITY = Duration.ofSeconds(1);

  private final LimitTable limits = LimitTable.create();
  private final Map<String, PermitQueue> queues = new HashMap<>();

  private PermitIssuer() {}

  public static PermitIssuer create() {
    return new PermitIssuer();
  }

  /**
   * Records the limits that an entry reports.
   *
   * @return the changes
   */
  public List<TargetLimit> recordLimits(List<LimitReport> reports, Instant now) {
    List<TargetLimit> changes = new ArrayList<>();
    for (TargetLimit reported : LimitReports.read(reports, now)) {
      Optional<TargetLimit> before = limits.find(reported.target());
      Optional<TargetLimit> change = limits.recordReport(reported, now);
      change.ifPresent(limit -> replaceQueue(before, limit, now));
      change.ifPresent(changes::add);
    }
    return changes;
  }

  private void replaceQueue(Optional<TargetLimit> before, TargetLimit changed, Instant now) {
    String target = changed.target();
    boolean isSameProcess =
        before.filter(known -> known.incarnation() == changed.incarnation()).isPresent();
    PermitQueue queue = queues.get(target);
    if (!changed.limit().isPresent()) {
      queues.remove(target);
    } else if (queue == null || !isSameProcess) {
      queues.put(target, PermitQueue.create(changed.requestsPerSecond(), now));
    } else {
      queue.changeRate(changed.requestsPerSecond(), now);
    }
  }

  /** Returns the limits in force, with those that ended lately. */
  public List<LimitReport> limits(Instant now) {
    return LimitReports.of(limits.all(), now);
  }

  /**
   * Issues permits to an entry.
   *
   * @param demands targets for which it could use permits; replaces what it reported before
   * @return a grant, perhaps of no permit, for each target with a limit
   */
  public List<PermitGrant> issue(String entry, List<PermitDemand> demands, Instant now) {
    Map<String, PermitDemand> demandByTarget = new HashMap<>();
    demands.forEach(demand -> demandByTarget.put(demand.target(), demand));
    List<PermitGrant> grants = new ArrayList<>();
    queues.forEach(
        (target, queue) -> {
          long incarnation = limits.find(target).orElseThrow().incarnation();
          PermitDemand demand = demandByTarget.get(target);
          boolean isCurrent = demand != null && demand.incarnation() == incarnation;
          int permits =
              queue.issue(
                  entry, isCurrent ? demand.waiting() : 0, isCurrent ? demand.expected() : 0, now);
          grants.add(
              PermitGrant.of(
                  target,
                  incarnation,
                  permits,
                  queue.wait(entry, now).toMillis(),
                  queue.firstWait(entry, now).toMillis()));
        });
    return grants;
  }

  /** Removes limits that ended some time ago or whose targets have not been announced for long. */
  public void retainTargets(Set<String> announced, Instant now) {
    limits.retainTargets(announced, now);
    Set<String> limited = new HashSet<>();
    limits.all().forEach(known -> limited.add(known.target()));
    queues.keySet().retainAll(limited);
  }
}

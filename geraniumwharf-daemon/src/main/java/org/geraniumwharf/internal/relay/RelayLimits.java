package org.geraniumwharf.internal.relay;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.fleet.LimitExchange;
import org.geraniumwharf.limit.TargetLimit;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.ColdTargets;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * Exchanges the limits and permits of a relay with the leader, and logs the limits that it learns.
 * Thread-safe.
 */
public final class RelayLimits implements LimitExchange {

  private static final String FROM_LEADER = "none";

  private final TargetPermits permits;
  private final ColdTargets cold;
  private final Runnable wakeQueued;
  private final EventLog log;

  private RelayLimits(TargetPermits permits, ColdTargets cold, Runnable wakeQueued, EventLog log) {
    this.permits = permits;
    this.cold = cold;
    this.wakeQueued = wakeQueued;
    this.log = log;
  }

  /**
   * Creates the exchange of a relay.
   *
   * @param wakeQueued called when queued requests may have a permit or another rank
   */
  public static RelayLimits create(
      TargetPermits permits, ColdTargets cold, Runnable wakeQueued, EventLog log) {
    return new RelayLimits(permits, cold, wakeQueued, log);
  }

  @Override
  public TargetPermits.Report report(Instant now) {
    return permits.report(now);
  }

  @Override
  public void answered(TargetPermits.Answer answer, Instant reportedAt, Instant now) {
    List<TargetLimit> changes = permits.applyAnswer(answer, reportedAt, now);
    changes.forEach(change -> logChange(log, change, FROM_LEADER));
    if (!changes.isEmpty() || answer.grants().stream().mapToInt(PermitGrant::permits).sum() > 0) {
      wakeQueued.run();
    }
  }

  @Override
  public void ranked(Optional<EntryRank> rank, Instant askedAt) {
    if (cold.recordRank(rank, askedAt)) {
      log.info(
          Event.of("entry-rank")
              .with("rank", rank.map(EntryRank::rank).map(String::valueOf).orElse("none"))
              .with("instances", rank.map(EntryRank::instances).orElse(0)));
      wakeQueued.run();
    }
  }

  /**
   * Logs that the limit of a target changed.
   *
   * @param requestId request whose response stated it; "none" if another instance met it
   */
  static void logChange(EventLog log, TargetLimit change, String requestId) {
    log.info(
        Event.of(change.limit().isPresent() ? "target-limited" : "target-unlimited")
            .with("target", change.target())
            .with("incarnation", change.incarnation())
            .with("requestsPerSecond", change.limit())
            .with("request", requestId));
  }
}

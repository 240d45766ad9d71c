package org.geraniumwharf.internal.relay;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.internal.fleet.LimitExchange;
import org.geraniumwharf.limit.TargetLimit;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * Exchanges the limits and permits of a relay with the leader, and logs the limits that it learns.
 * Thread-safe.
 */
public final class RelayLimits implements LimitExchange {

  private static final String FROM_LEADER = "none";

  private final TargetPermits permits;
  private final Runnable wakeQueued;
  private final EventLog log;

  private RelayLimits(TargetPermits permits, Runnable wakeQueued, EventLog log) {
    this.permits = permits;
    this.wakeQueued = wakeQueued;
    this.log = log;
  }

  /**
   * Creates the exchange of a relay.
   *
   * @param wakeQueued called when queued requests may have a permit
   */
  public static RelayLimits create(TargetPermits permits, Runnable wakeQueued, EventLog log) {
    return new RelayLimits(permits, wakeQueued, log);
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

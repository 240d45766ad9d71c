package org.geraniumwharf.internal.replica;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.limit.PermitIssuer;
import org.geraniumwharf.limit.TargetLimit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitGrant;
import org.geraniumwharf.schema.state.TargetRecord;

/**
 * The limits of targets, held in memory by the leader only, and the permits that it issues to the
 * entry instances. Used by the replica thread only.
 */
final class PermitDuty {

  private final EventLog log;
  private PermitIssuer issuer = PermitIssuer.create();

  PermitDuty(EventLog log) {
    this.log = log;
  }

  /** Discards what an earlier leadership knew. */
  void startLeadership() {
    issuer = PermitIssuer.create();
  }

  /** Records the limits that a daemon reports. */
  void receiveHeartbeat(HeartbeatCall call, Instant now) {
    issuer
        .recordLimits(call.limits(), now)
        .forEach(change -> logChange(change, call.daemon().name()));
  }

  private void logChange(TargetLimit change, String reportedBy) {
    log.info(
        Event.of(change.limit().isPresent() ? "target-limit-begun" : "target-limit-ended")
            .with("target", change.target())
            .with("incarnation", change.incarnation())
            .with("requestsPerSecond", change.limit())
            .with("reportedBy", reportedBy));
  }

  /** Returns the limits in force, with those that ended lately. */
  List<LimitReport> limits(Instant now) {
    return issuer.limits(now);
  }

  /** Issues permits for the demands that a daemon reports. */
  List<PermitGrant> issue(HeartbeatCall call, Instant now) {
    return issuer.issue(call.daemon().name(), call.permitDemands(), now);
  }

  /** Forgets the limits of targets that are gone. */
  void prune(ControlState state, Instant now) {
    Set<String> announced =
        state.targets().stream()
            .filter(record -> !record.lapsed())
            .map(PermitDuty::idOf)
            .collect(Collectors.toSet());
    issuer.retainTargets(announced, now);
  }

  private static String idOf(TargetRecord record) {
    return record.announcement().id();
  }
}

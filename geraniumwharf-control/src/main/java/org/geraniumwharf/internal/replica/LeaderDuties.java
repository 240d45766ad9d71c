package org.geraniumwharf.internal.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.admission.LimitShareAllocator;
import org.geraniumwharf.announcement.AnnouncementOrder;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.quarantine.CrashLedger;
import org.geraniumwharf.quarantine.QuarantineChange;
import org.geraniumwharf.quarantine.QuarantineEvents;
import org.geraniumwharf.relay.EntryRanks;
import org.geraniumwharf.relay.SharedSpeeds;
import org.geraniumwharf.schema.messages.CrashEvidence;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.OrganisationShare;
import org.geraniumwharf.schema.messages.PermitGrant;
import org.geraniumwharf.schema.messages.RegionTable;
import org.geraniumwharf.schema.messages.TargetRenewal;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.geraniumwharf.schema.messages.TargetWork;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.PruneCommand;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * The leases of targets and daemons, held in memory by the leader only, and the commands that
 * result when they expire. Also prunes runs and divides the limits of organisations. Used by the
 * replica thread only.
 */
final class LeaderDuties {

  /** Time that targets have to renew their lease after a change of leader. */
  private static final Duration NEW_LEADER_GRACE = Duration.ofMillis(1500);

  private static final Duration RELEASED_RETENTION = Duration.ofMinutes(10);
  private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(5);

  private final ControlOptions options;
  private final EventLog log;
  private final Map<String, TargetLease> targetLeases = new HashMap<>();
  private final Map<String, DaemonLease> daemonLeases = new HashMap<>();
  private final ReportedLoad reportedLoad = new ReportedLoad();
  private final SharedSpeeds speeds = SharedSpeeds.create();
  private final PermitDuty permits;
  private final ColdDuty cold;
  private final RegionLedger regions = new RegionLedger();
  private LimitShareAllocator limitShares = LimitShareAllocator.create();
  private CrashLedger crashes = CrashLedger.create();
  private EntryRanks ranks = EntryRanks.ofLeaderSince(Instant.EPOCH);
  private Instant leaderSince = Instant.MIN;
  private Instant nextPrune = Instant.MIN;

  LeaderDuties(ControlOptions options, EventLog log) {
    this.options = options;
    this.log = log;
    this.permits = new PermitDuty(log);
    this.cold = new ColdDuty(log);
  }

  /**
   * Discards all leases and grants each target in the state one that expires after {@link
   * #NEW_LEADER_GRACE} unless this leader receives a renewal.
   */
  void startLeadership(ControlState state, Instant now) {
    targetLeases.clear();
    daemonLeases.clear();
    reportedLoad.clear();
    speeds.clear();
    permits.startLeadership();
    cold.startLeadership(state, now);
    ranks = EntryRanks.ofLeaderSince(now);
    regions.clear();
    limitShares = LimitShareAllocator.create();
    crashes = CrashLedger.create();
    leaderSince = now;
    nextPrune = now.plus(PRUNE_INTERVAL);
    Instant renewedAt = now.minus(options.targetLease()).plus(NEW_LEADER_GRACE);
    for (TargetRecord record : state.targets()) {
      Announcement announcement = record.announcement();
      targetLeases.put(
          announcement.id(),
          new TargetLease(announcement.incarnation(), announcement.sequence(), renewedAt));
    }
  }

  /** Renews the leases that a heartbeat covers and returns commands for changed announcements. */
  List<Command> receiveHeartbeat(HeartbeatCall call, ControlState state, Instant now) {
    if (!isOlderIncarnation(call.daemon(), state, now)) {
      daemonLeases.put(call.daemon().name(), new DaemonLease(call.daemon(), now));
      reportedLoad.replace(call.daemon().name(), call.targetWork());
      speeds.record(call.targetSpeeds(), now);
      regions.record(call);
    }
    recordCrashes(call, now);
    permits.receiveHeartbeat(call, now);
    List<Command> commands = new ArrayList<>();
    for (TargetRenewal renewal : call.renewals()) {
      renewTargetLease(renewal.id(), renewal.incarnation(), renewal.sequence(), now);
    }
    for (Announcement received : call.announcements()) {
      Announcement announcement = withFreeSequence(received, state);
      renewTargetLease(announcement.id(), announcement.incarnation(), announcement.sequence(), now);
      Announcement completed = cold.completed(announcement, state, now);
      if (isNewContent(completed, state, now)) {
        cold.recordAnnounced(completed, state, now);
        commands.add(AnnounceCommand.of(completed));
      }
    }
    return commands;
  }

  /**
   * Joins the crash evidence of one daemon with that of the others. Parts that it found sound come
   * first: it withdraws the evidence from before a complete answer itself.
   */
  private void recordCrashes(HeartbeatCall call, Instant now) {
    List<QuarantineChange> changes = new ArrayList<>(crashes.expire(now));
    call.quarantinedParts().forEach(part -> changes.addAll(crashes.adopt(part, now)));
    call.soundParts().forEach(part -> changes.addAll(crashes.recordSound(part)));
    for (CrashEvidence evidence : call.crashEvidence()) {
      changes.addAll(crashes.recordCrash(evidence, now));
    }
    changes.addAll(crashes.quarantineReported(now));
    QuarantineEvents.log(log, changes);
    QuarantineEvents.logWaiting(log, crashes.takeWaiting());
  }

  /** Returns the prompt parts that are suspected to crash targets. */
  List<String> suspectedParts() {
    return crashes.suspectedParts();
  }

  /** Returns the prompt parts that entry instances must refuse. */
  List<String> quarantinedParts() {
    return crashes.quarantinedParts();
  }

  /**
   * Records the demands that a daemon reports and returns its shares of the organisations' limits.
   * A new leader grants none until the shares granted by the previous leader have expired.
   */
  List<OrganisationShare> updateLimitShares(HeartbeatCall call, Instant now) {
    if (now.isBefore(leaderSince.plus(LimitShareAllocator.VALIDITY))) {
      return List.of();
    }
    return limitShares.allocate(call.daemon().name(), call.demands(), liveEntryInstances(now), now);
  }

  /** Returns the limits of targets in force, with those that ended lately. */
  List<LimitReport> targetLimits(Instant now) {
    return permits.limits(now);
  }

  /**
   * Returns the rank of an entry instance among the live ones, by which they divide the requests to
   * cold targets; empty if it has none, or if no service limits these requests.
   *
   * @param confirmedAge time since a quorum confirmed this leader
   */
  Optional<EntryRank> entryRank(
      HeartbeatCall call, ControlState state, Duration confirmedAge, Instant now) {
    DaemonLease lease = daemonLeases.get(call.daemon().name());
    boolean isCurrent =
        lease != null && lease.status().incarnation() == call.daemon().incarnation();
    return isCurrent && cold.isAnyLimited(state)
        ? ranks.rank(call.daemon().name(), () -> liveEntryNames(now), confirmedAge, now)
        : Optional.empty();
  }

  private Set<String> liveEntryNames(Instant now) {
    return liveDaemons(now).stream()
        .filter(DaemonStatus::ready)
        .map(DaemonStatus::name)
        .collect(Collectors.toSet());
  }

  /** Returns the regions of the live daemons for a daemon that asks for them. */
  Optional<RegionTable> regions(HeartbeatCall call, Instant now) {
    return call.region().isEmpty() ? Optional.empty() : regions.answer(call, liveDaemonNames(now));
  }

  /** Issues permits for limited targets for the demands that a daemon reports. */
  List<PermitGrant> issuePermits(HeartbeatCall call, Instant now) {
    return permits.issue(call, now);
  }

  /**
   * Returns whether a heartbeat is a late one of the process before. A lower incarnation is a
   * restart by a clock that was set back once the lease of the process before has ended and its
   * claims have been put in doubt, which needs its incarnation.
   */
  private boolean isOlderIncarnation(DaemonStatus status, ControlState state, Instant now) {
    DaemonLease current = daemonLeases.get(status.name());
    if (current == null || current.status().incarnation() <= status.incarnation()) {
      return false;
    }
    return isLive(current, now) || state.claimOwners().containsKey(status.name());
  }

  /**
   * Returns an announcement that a target leaves with the next sequence if its own was used
   * meanwhile, for example for an end of the cold state that the leader recorded and the sender had
   * not seen. It would be ignored otherwise, and requests would go on to a target that has gone.
   */
  private static Announcement withFreeSequence(Announcement announcement, ControlState state) {
    boolean isUsed =
        announcement.leaving()
            && state
                .target(announcement.id())
                .map(TargetRecord::announcement)
                .filter(current -> !current.leaving())
                .filter(current -> current.incarnation() == announcement.incarnation())
                .filter(current -> current.sequence() == announcement.sequence())
                .isPresent();
    return isUsed ? announcement.withSequence(announcement.sequence() + 1) : announcement;
  }

  private void renewTargetLease(String id, long incarnation, long sequence, Instant now) {
    TargetLease current = targetLeases.get(id);
    if (current == null
        || AnnouncementOrder.isNewer(
            incarnation, sequence, current.incarnation(), current.sequence())) {
      targetLeases.put(id, new TargetLease(incarnation, sequence, now));
    }
  }

  private boolean isNewContent(Announcement announcement, ControlState state, Instant now) {
    Optional<TargetRecord> existing = state.target(announcement.id());
    if (existing.isEmpty() || existing.get().lapsed()) {
      return true;
    }
    Announcement current = existing.get().announcement();
    return AnnouncementOrder.isNewer(announcement, current)
        && (!AnnouncementOrder.hasSameContent(announcement, current)
            || cold.isChanged(announcement, current, now));
  }

  /** Returns the commands for expired leases and for runs that are due to be pruned. */
  List<Command> tick(ControlState state, Instant now) {
    List<Command> commands = new ArrayList<>();
    removeExpiredLoad(now);
    if (hasRecentHeartbeat(now)) {
      addExpiredTargets(state, now, commands);
    }
    for (Announcement warm : cold.ended(state, now)) {
      commands.add(AnnounceCommand.of(withNextSequence(warm)));
    }
    addRunsInDoubt(state, now, commands);
    addPrune(state, now, commands);
    return commands;
  }

  /**
   * Returns a statement of the leader about a target, which is newer than all that the target
   * announced, and lets the lease expire as before.
   */
  private Announcement withNextSequence(Announcement announcement) {
    TargetLease lease = targetLeases.get(announcement.id());
    long known =
        lease != null && lease.incarnation() == announcement.incarnation() ? lease.sequence() : 0;
    long next = Math.max(announcement.sequence(), known) + 1;
    if (lease != null && lease.incarnation() == announcement.incarnation()) {
      targetLeases.put(
          announcement.id(), new TargetLease(lease.incarnation(), next, lease.renewedAt()));
    }
    return announcement.withSequence(next);
  }

  /**
   * Returns whether any daemon sent a heartbeat within a target lease. If none did, this leader is
   * probably cut off itself, so it must not let all targets expire.
   */
  private boolean hasRecentHeartbeat(Instant now) {
    return daemonLeases.values().stream()
        .anyMatch(lease -> now.isBefore(lease.renewedAt().plus(options.targetLease())));
  }

  private void addExpiredTargets(ControlState state, Instant now, List<Command> commands) {
    for (TargetRecord record : state.targets()) {
      Announcement announcement = record.announcement();
      TargetLease lease = targetLeases.get(announcement.id());
      if (!record.lapsed()
          && lease != null
          && !now.isBefore(lease.renewedAt().plus(options.targetLease()))) {
        commands.add(
            LapseTargetCommand.of(announcement.id(), announcement.incarnation(), lease.sequence()));
      }
    }
  }

  private void addRunsInDoubt(ControlState state, Instant now, List<Command> commands) {
    state
        .claimOwners()
        .forEach(
            (owner, oldestIncarnation) -> {
              long endedBelow = endedBelowIncarnation(owner, now);
              if (oldestIncarnation < endedBelow) {
                commands.add(DoubtRunsCommand.of(owner, endedBelow, now.toEpochMilli()));
              }
            });
  }

  /**
   * Returns the incarnation below which every process of a daemon has certainly ended; 0 while this
   * leader has not led for a whole daemon lease and has received no heartbeat from the daemon.
   */
  private long endedBelowIncarnation(String owner, Instant now) {
    DaemonLease lease = daemonLeases.get(owner);
    if (lease == null) {
      boolean haveAllLiveDaemonsReported = !now.isBefore(leaderSince.plus(options.daemonLease()));
      return haveAllLiveDaemonsReported ? Long.MAX_VALUE : 0;
    }
    long incarnation = lease.status().incarnation();
    return isLive(lease, now) ? incarnation : incarnation + 1;
  }

  private void addPrune(ControlState state, Instant now, List<Command> commands) {
    if (now.isBefore(nextPrune)) {
      return;
    }
    nextPrune = now.plus(PRUNE_INTERVAL);
    limitShares.prune(now);
    permits.prune(state, now);
    cold.prune(state, now);
    speeds.retainTargets(
        state.targets().stream()
            .map(record -> record.announcement().id())
            .collect(Collectors.toSet()));
    PruneCommand prune =
        PruneCommand.of(
            now.minus(options.runRetention()).toEpochMilli(),
            now.minus(RELEASED_RETENTION).toEpochMilli(),
            options.maxRuns());
    if (state.hasPrunable(prune)) {
      commands.add(prune);
    }
  }

  /** Returns the relayed load of all live daemons except one, summed by target. */
  List<TargetWork> remoteLoad(String daemon) {
    return reportedLoad.allExcept(daemon);
  }

  /** Returns the targets that are slower or faster than others, by the times of all daemons. */
  List<TargetSpeed> unusualSpeeds(Instant now) {
    return speeds.unusual(now);
  }

  private void removeExpiredLoad(Instant now) {
    daemonLeases.forEach(
        (daemon, lease) -> {
          if (!isLive(lease, now)) {
            reportedLoad.remove(daemon);
          }
        });
  }

  List<DaemonStatus> liveDaemons(Instant now) {
    return daemonLeases.values().stream()
        .filter(lease -> isLive(lease, now))
        .map(DaemonLease::status)
        .toList();
  }

  /** Returns whether every live daemon has had the time to send this leader a heartbeat. */
  boolean hasHeardAllDaemons(Instant now) {
    return !now.isBefore(leaderSince.plus(options.daemonLease()));
  }

  Set<String> liveDaemonNames(Instant now) {
    return liveDaemons(now).stream().map(DaemonStatus::name).collect(Collectors.toSet());
  }

  int liveEntryInstances(Instant now) {
    return (int) liveDaemons(now).stream().filter(DaemonStatus::ready).count();
  }

  private boolean isLive(DaemonLease lease, Instant now) {
    return now.isBefore(lease.renewedAt().plus(options.daemonLease()));
  }

  private record TargetLease(long incarnation, long sequence, Instant renewedAt) {}

  private record DaemonLease(DaemonStatus status, Instant renewedAt) {}
}

package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.quarantine.PartQuarantine;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.HeartbeatAnswer;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.TargetWork;

/** Tells the leader that this daemon and its targets live, twice a second and on changes. */
public final class HeartbeatSender implements Runnable {

  private static final Duration INTERVAL = Duration.ofMillis(500);

  /** Time between heartbeats while relayed work is under way, which the others place by. */
  private static final Duration WORKING_INTERVAL = Duration.ofMillis(150);

  /**
   * Time after the start in which heartbeats follow each other as quickly: their answers bring the
   * contents of the cache stores, which control instances read again after a restart of all.
   */
  private static final Duration STARTING = Duration.ofSeconds(4);

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final DaemonStatus identity;
  private final boolean isEntry;
  private final ControlClient client;
  private final FleetViewHolder holder;
  private final Readiness readiness;
  private final TargetRegistrations registrations;
  private final OrganisationLimiter limiter;
  private final DeploymentWork work;
  private final WorkExchange exchange;
  private final CrashExchange crashes;
  private final StoreExchange stores;
  private final LimitExchange limits;
  private final RegionExchange regions;
  private final EventLog log;
  private final InstantSource clock;
  private final Semaphore changes = new Semaphore(0);

  HeartbeatSender(
      DaemonStatus identity,
      boolean isEntry,
      ControlClient client,
      FleetViewHolder holder,
      Readiness readiness,
      TargetRegistrations registrations,
      OrganisationLimiter limiter,
      DeploymentWork work,
      WorkExchange exchange,
      CrashExchange crashes,
      StoreExchange stores,
      LimitExchange limits,
      RegionExchange regions,
      EventLog log,
      InstantSource clock) {
    this.identity = identity;
    this.isEntry = isEntry;
    this.client = client;
    this.holder = holder;
    this.readiness = readiness;
    this.registrations = registrations;
    this.limiter = limiter;
    this.work = work;
    this.exchange = exchange;
    this.crashes = crashes;
    this.stores = stores;
    this.limits = limits;
    this.regions = regions;
    this.log = log;
    this.clock = clock;
  }

  /** Sends the next heartbeat at once. */
  public void changed() {
    if (changes.availablePermits() == 0) {
      changes.release();
    }
  }

  @Override
  public void run() {
    Instant startedUntil = clock.instant().plus(STARTING);
    try {
      while (!Thread.currentThread().isInterrupted()) {
        boolean isFrequent = sendOne() || clock.instant().isBefore(startedUntil);
        Duration interval = isFrequent ? WORKING_INTERVAL : INTERVAL;
        boolean isEarly = changes.tryAcquire(interval.toMillis(), TimeUnit.MILLISECONDS);
        if (isEarly) {
          changes.drainPermits();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a heartbeat and returns whether relayed work is under way or waits for permits. */
  private boolean sendOne() {
    try {
      Instant now = clock.instant();
      List<TargetWork> relayed = exchange.own();
      TargetPermits.Report limitReport = limits.report(now);
      send(relayed, limitReport, now);
      return !relayed.isEmpty() || !limitReport.demands().isEmpty();
    } catch (RuntimeException e) {
      log.warn(Event.of("heartbeat-failed").with("cause", e));
      return false;
    }
  }

  private void send(List<TargetWork> relayed, TargetPermits.Report limitReport, Instant now) {
    FleetSnapshot view = holder.current();
    TargetRegistrations.Report report = registrations.takeReport(view, now);
    PartQuarantine.Report crashReport = crashes.report();
    DaemonStatus status =
        identity
            .withConfigurationVersion(view.configuration().version())
            .withViewIndex(view.index())
            .withReady(isEntry && readiness.isReady(now))
            .withLeaving(readiness.isLeaving());
    try {
      HeartbeatAnswer answer =
          client.call(
              HeartbeatCall.of(
                  status,
                  report.announcements(),
                  report.renewals(),
                  limiter.drainDemands(now),
                  work.demands(),
                  relayed,
                  exchange.measuredSpeeds(now),
                  crashReport.crashes(),
                  crashReport.soundParts(),
                  crashReport.quarantinedParts(),
                  stores.positions(),
                  limitReport.limits(),
                  limitReport.demands(),
                  regions.report(view.configuration(), now)),
              HeartbeatAnswer.class,
              now.plus(TIMEOUT));
      registrations.reported(report);
      exchange.others(answer.targetWork(), clock.instant());
      exchange.speeds(answer.targetSpeeds(), clock.instant());
      crashes.answered(
          crashReport,
          new PartQuarantine.LeaderLists(
              answer.term(), answer.suspectedParts(), answer.quarantinedParts()),
          clock.instant());
      stores.received(answer.storeChanges(), clock.instant());
      answer.regions().ifPresent(table -> regions.received(table.regions()));
      limits.answered(
          new TargetPermits.Answer(answer.entryInstances(), answer.limits(), answer.permits()),
          now,
          clock.instant());
      limits.ranked(answer.entryRank(), now);
      if (answer.entryInstances() > 0) {
        limiter.applyShares(answer.entryInstances(), answer.shares(), clock.instant());
      }
    } catch (ServingException e) {
      log.info(Event.of("heartbeat-failed").with("cause", e.getMessage()));
    }
  }
}

package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.InstantSource;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DaemonStatus;

/** The threads that keep this daemon part of the fleet. */
public final class FleetMembership {

  private final ControlClient client;
  private final Readiness readiness;
  private final ViewWatcher watcher;
  private final HeartbeatSender heartbeats;
  private Thread watcherThread;
  private Thread heartbeatThread;

  private FleetMembership(
      ControlClient client, Readiness readiness, ViewWatcher watcher, HeartbeatSender heartbeats) {
    this.client = client;
    this.readiness = readiness;
    this.watcher = watcher;
    this.heartbeats = heartbeats;
  }

  /**
   * Wires the parts.
   *
   * @param identity what this daemon tells of itself
   * @param isEntry whether it takes requests of callers
   * @param lease time without a fresh view after which the daemon stops serving
   * @param work work in flight, told to the leader
   * @param exchange relayed work, told to the other daemons
   * @param crashes crash evidence, shared with the other daemons
   * @param stores contents of cache stores, which control instances hand on
   * @param limits limits of targets and permits for them, shared by way of the leader
   * @param regions regions of data centres, shared with the other daemons
   * @param limiter tells its demand and receives its shares
   */
  public static FleetMembership create(
      DaemonStatus identity,
      boolean isEntry,
      ControlDirectory directory,
      PeerLinks links,
      ControlClient client,
      FleetViewHolder holder,
      TargetRegistrations registrations,
      Duration lease,
      OrganisationLimiter limiter,
      DeploymentWork work,
      WorkExchange exchange,
      CrashExchange crashes,
      StoreExchange stores,
      LimitExchange limits,
      RegionExchange regions,
      EventLog log,
      InstantSource clock) {
    ControlReachability reachability = new ControlReachability(directory.names().size());
    Readiness readiness = Readiness.create(holder, reachability, lease);
    ViewWatcher watcher =
        new ViewWatcher(
            identity.name(), directory, links, client, holder, readiness, reachability, log, clock);
    HeartbeatSender heartbeats =
        new HeartbeatSender(
            identity,
            isEntry,
            client,
            holder,
            readiness,
            registrations,
            limiter,
            work,
            exchange,
            crashes,
            stores,
            limits,
            regions,
            log,
            clock);
    return new FleetMembership(client, readiness, watcher, heartbeats);
  }

  /** Uses the control instance of this process; called before {@link #start}. */
  public void local(ControlInstance instance) {
    client.local(instance);
    watcher.local(instance);
  }

  public void start() {
    watcherThread = DaemonThreads.start(watcher, "view-watcher");
    heartbeatThread = DaemonThreads.start(heartbeats, "heartbeats");
  }

  public Readiness readiness() {
    return readiness;
  }

  /** Tells the leader at once that something about this daemon or its targets changed. */
  public void changed() {
    heartbeats.changed();
  }

  public void stop() {
    watcherThread.interrupt();
    heartbeatThread.interrupt();
  }
}

package org.geraniumwharf.internal.daemon;

import io.javalin.Javalin;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.geraniumwharf.control.ControlException;
import org.geraniumwharf.internal.caller.CallerEdge;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.ViewReports;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.operator.OperatorEdge;
import org.geraniumwharf.internal.serving.AdmissionGate;
import org.geraniumwharf.internal.serving.CacheEventPoller;
import org.geraniumwharf.internal.serving.KeptCache;
import org.geraniumwharf.internal.serving.RunRecorder;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.PeerService;
import org.geraniumwharf.keptcache.LinkTable;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.settings.DaemonSettings;
import org.geraniumwharf.schema.state.TargetRecord;

/** Starts the daemon's parts in order and shuts them down without cutting a request. */
@Singleton
public final class DaemonRuntime {

  private static final Duration POLL = Duration.ofMillis(20);

  private final DaemonSettings settings;
  private final LocalControl localControl;
  private final ControlDirectory directory;
  private final PeerNetwork network;
  private final PeerLinks links;
  private final FleetMembership membership;
  private final FleetViewHolder fleet;
  private final TargetLoadTable load;
  private final CallerEdge callerEdge;
  private final OperatorEdge operatorEdge;
  private final RunRecorder recorder;
  private final KeptCache kept;
  private final CacheEventPoller cacheEvents;
  private final LinkTable storeLinks;
  private final AdmissionGate gate;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final InstantSource clock;
  private final List<Javalin> servers = new ArrayList<>();
  private volatile boolean isHurried;

  @Inject
  DaemonRuntime(
      DaemonSettings settings,
      LocalControl localControl,
      ControlDirectory directory,
      PeerNetwork network,
      PeerLinks links,
      FleetMembership membership,
      FleetViewHolder fleet,
      TargetLoadTable load,
      CallerEdge callerEdge,
      OperatorEdge operatorEdge,
      RunRecorder recorder,
      KeptCache kept,
      CacheEventPoller cacheEvents,
      LinkTable storeLinks,
      AdmissionGate gate,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    this.settings = settings;
    this.localControl = localControl;
    this.directory = directory;
    this.network = network;
    this.links = links;
    this.membership = membership;
    this.fleet = fleet;
    this.load = load;
    this.callerEdge = callerEdge;
    this.operatorEdge = operatorEdge;
    this.recorder = recorder;
    this.kept = kept;
    this.cacheEvents = cacheEvents;
    this.storeLinks = storeLinks;
    this.gate = gate;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Completes with the cause if a part without which the process is of no use ended by an error.
   * The process must then end, so that it is started again.
   */
  public CompletableFuture<Throwable> failure() {
    return localControl.failure();
  }

  /**
   * Starts every part; returns once both edges listen.
   *
   * @throws IOException if an address cannot be used
   * @throws ControlException if the data folder cannot be used
   */
  public void start() throws IOException, ControlException, InterruptedException {
    String name = settings.daemon().name();
    boolean isControl = settings.daemon().roles().contains("control");
    if (isControl) {
      localControl.open(settings, directory, log, clock.instant());
    }
    PeerService peers =
        PeerService.start(network, ControlDirectory.parseAddress(settings.listen().peer()), log);
    fleet.onChange(this::forgetRestarted);
    ViewReports.logConfigurations(fleet, log);
    registerGauges();
    servers.add(operatorEdge.start(ControlDirectory.parseAddress(settings.listen().operator())));
    if (settings.daemon().roles().contains("entry")) {
      servers.add(callerEdge.start(ControlDirectory.parseAddress(settings.listen().entry())));
    }
    if (isControl) {
      var instance = localControl.start(name, directory, links, log, clock);
      peers.control(instance);
      membership.local(instance);
    }
    membership.start();
    DaemonThreads.start(recorder, "run-recorder");
    DaemonThreads.start(cacheEvents, "cache-events");
    log.info(
        Event.of("daemon-started")
            .with("name", name)
            .with("dataCentre", settings.daemon().dataCentre())
            .with("roles", String.join(",", settings.daemon().roles()))
            .with("entry", settings.listen().entry())
            .with("operator", settings.listen().operator())
            .with("peer", settings.listen().peer()));
  }

  private void registerGauges() {
    metrics.gauge("in_flight", gate::inFlightOrQueued);
    ViewReports.registerGauges(fleet, metrics, clock);
    metrics.gauge("targets_known", () -> fleet.current().targets().size());
    metrics.gauge("peer_bytes_sent_total", network.traffic()::bytes);
    metrics.gauge("peer_frames_sent_total", network.traffic()::frames);
    metrics.gauge("link_bytes_total", storeLinks::bytesMoved);
    metrics.gauge("cache_hints", load::cacheHints);
    metrics.gauge("exports_open", kept::openExports);
    metrics.gauge("run_ends_unrecorded", recorder::unrecordedCount);
    metrics.gauge("ready", () -> membership.readiness().isReady(clock.instant()) ? 1 : 0);
  }

  /** What was observed of an earlier incarnation says nothing of the next. */
  private void forgetRestarted(FleetSnapshot before, FleetSnapshot after) {
    for (TargetRecord record : after.targets()) {
      String id = record.announcement().id();
      Optional<TargetRecord> known = before.target(id);
      boolean isRestarted =
          known.isPresent()
              && known.get().announcement().incarnation() < record.announcement().incarnation();
      if (isRestarted) {
        load.removeTarget(id);
      }
    }
  }

  /**
   * Shuts down: turns unready, serves through the notice time, refuses new requests, finishes those
   * in flight and their records, hands leadership over, stops.
   *
   * @return requests that were cut, 0 unless the drain time ran out or {@link #hurry} was called
   */
  public int shutdown() {
    log.info(Event.of("shutdown-started").with("inFlight", gate.inFlightOrQueued()));
    membership.readiness().leaving();
    membership.changed();
    Instant noticeEnd = clock.instant().plusMillis(settings.shutdown().noticeMillis());
    while (clock.instant().isBefore(noticeEnd) && !isHurried) {
      pause();
    }
    membership.readiness().refusing();
    Instant drainEnd = clock.instant().plusMillis(settings.shutdown().drainMillis());
    while (isBusy() && clock.instant().isBefore(drainEnd) && !isHurried) {
      pause();
    }
    int cut = gate.inFlightOrQueued();
    membership.stop();
    localControl.stop(log);
    servers.forEach(Javalin::stop);
    links.close();
    network.close();
    log.info(
        Event.of("shutdown-finished")
            .with("cut", cut)
            .with("unrecorded", recorder.unrecordedCount()));
    return cut;
  }

  /** Ends a shutdown without waiting any longer. */
  public void hurry() {
    isHurried = true;
  }

  private boolean isBusy() {
    return gate.inFlightOrQueued() > 0 || recorder.unrecordedCount() > 0 || kept.openExports() > 0;
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

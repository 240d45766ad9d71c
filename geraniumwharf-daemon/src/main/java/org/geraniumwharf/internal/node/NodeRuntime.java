package org.geraniumwharf.internal.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.control.ControlException;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.ControlInstances;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.internal.fleet.CrashExchange;
import org.geraniumwharf.internal.fleet.DeploymentWork;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.LimitExchange;
import org.geraniumwharf.internal.fleet.StoreExchange;
import org.geraniumwharf.internal.fleet.TargetRegistrations;
import org.geraniumwharf.internal.fleet.ViewReports;
import org.geraniumwharf.internal.fleet.WorkExchange;
import org.geraniumwharf.internal.http.ApiServer;
import org.geraniumwharf.internal.http.HttpListener;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.relay.BufferingHttpClient;
import org.geraniumwharf.internal.relay.KnownRegions;
import org.geraniumwharf.internal.relay.KnownStores;
import org.geraniumwharf.internal.relay.LoggedQuarantine;
import org.geraniumwharf.internal.relay.Relay;
import org.geraniumwharf.internal.relay.RelayLimits;
import org.geraniumwharf.internal.relay.StoreEventPollers;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.PeerService;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.ColdTargets;
import org.geraniumwharf.relay.HoldPolicy;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.StoreChangeLog;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.geraniumwharf.schema.messages.TargetWork;

/** One process of a relaying fleet: starts its parts in order and shuts them down gracefully. */
public final class NodeRuntime implements AutoCloseable {

  private static final int EVENT_LOOPS = 1;
  private static final int MAX_WORKERS = 64;
  private static final long WORKER_IDLE_SECONDS = 20;
  private static final Duration HEARTBEAT = Duration.ofMillis(150);
  private static final Duration ELECTION = Duration.ofMillis(750);
  private static final int SNAPSHOT_ENTRIES = 2000;
  private static final Duration TARGET_LEASE = Duration.ofSeconds(5);
  private static final Duration DAEMON_LEASE = Duration.ofSeconds(3);

  /** A node that lost touch goes on with the view it has, for as long as this. */
  private static final Duration VIEW_LEASE = Duration.ofHours(12);

  private static final Duration RUN_RETENTION = Duration.ofHours(1);
  private static final int MAX_RUNS = 1000;

  private static final Duration CONTROL_STOP = Duration.ofSeconds(2);

  private final NodeSettings settings;
  private final Optional<ServerSocketChannel> callerSocket;
  private final NodeEdges edges;
  private final EventLog log;
  private final InstantSource clock;
  private final DaemonMetrics metrics = DaemonMetrics.create();
  private final EventLoopGroup loops = new NioEventLoopGroup(EVENT_LOOPS);
  private final ExecutorService workers =
      new ThreadPoolExecutor(
          0, MAX_WORKERS, WORKER_IDLE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>());
  private final ControlDirectory directory;
  private final PeerNetwork network;
  private final PeerLinks links;
  private final ControlClient client;
  private final FleetViewHolder holder = FleetViewHolder.create();
  private final TargetRegistrations registrations = TargetRegistrations.create(TARGET_LEASE);
  private final OrganisationLimiter limiter = OrganisationLimiter.create();
  private final RelayLoadTable load;
  private final LoggedQuarantine quarantine;
  private final KnownStores stores;
  private final KnownRegions regions;
  private final FleetMembership membership;
  private final List<Thread> controlThreads = new ArrayList<>();
  private final CompletableFuture<Throwable> failure = new CompletableFuture<>();
  private Optional<ControlInstance> instance = Optional.empty();
  private Optional<Thread> groupJoiner = Optional.empty();
  private volatile Optional<Relay> relay = Optional.empty();

  private NodeRuntime(
      NodeSettings settings,
      Optional<ServerSocketChannel> callerSocket,
      NodeEdges edges,
      EventLog log,
      InstantSource clock) {
    this.settings = settings;
    this.callerSocket = callerSocket;
    this.edges = edges;
    this.log = log;
    this.clock = clock;
    this.quarantine = LoggedQuarantine.create(log);
    this.stores = KnownStores.create(log);
    this.regions =
        KnownRegions.create(settings.dataCentre(), settings.isEntry(), settings.regions(), log);
    TargetPermits permits = TargetPermits.create(settings.peer(), this::sendHeartbeat);
    ColdTargets cold =
        ColdTargets.within(settings.coldBounds(), ProcessAge.startAsOf(clock.instant()));
    this.load = RelayLoadTable.create(settings.peer(), permits, cold);
    this.directory = ControlDirectory.ofSeeds(settings.seeds());
    this.network =
        PeerNetwork.create(
            settings.peer(),
            ClusterKey.of(settings.clusterKey()),
            Sockets.of(Optional.empty()),
            () -> instance.map(ControlInstance::isInitialised).orElse(false),
            log);
    this.links = PeerLinks.create(network, directory::address, workers, clock);
    this.client = ControlClient.create(settings.peer(), directory, links, clock);
    this.membership =
        FleetMembership.create(
            identity(),
            settings.isEntry(),
            directory,
            links,
            client,
            holder,
            registrations,
            VIEW_LEASE,
            limiter,
            DeploymentWork.create(),
            settings.isEntry() ? workExchange() : WorkExchange.none(),
            settings.isEntry() ? quarantine : CrashExchange.none(),
            settings.isEntry() ? stores : StoreExchange.none(),
            settings.isEntry()
                ? RelayLimits.create(permits, cold, this::wakeQueued, log)
                : LimitExchange.none(),
            regions,
            log,
            clock);
  }

  /**
   * Wires a node.
   *
   * @param edges how callers, targets and operators speak to it
   */
  public static NodeRuntime create(
      NodeSettings settings, NodeEdges edges, EventLog log, InstantSource clock) {
    return new NodeRuntime(settings, bindForCallers(settings), edges, log, clock);
  }

  /**
   * Opens the port for callers before everything else, which takes longer. Where that fails, the
   * start opens it in its turn and reports the cause.
   */
  private static Optional<ServerSocketChannel> bindForCallers(NodeSettings settings) {
    if (settings.entry().isEmpty() || settings.heldRequests() == 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(HttpListener.bind(ControlDirectory.parseAddress(settings.entry().get())));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void sendHeartbeat() {
    membership.changed();
  }

  private void wakeQueued() {
    relay.ifPresent(Relay::wakeQueued);
  }

  private WorkExchange workExchange() {
    return new WorkExchange() {
      @Override
      public List<TargetWork> own() {
        return load.localLoad(clock.instant());
      }

      @Override
      public void others(List<TargetWork> work, Instant now) {
        load.setRemoteLoad(work, now);
      }

      @Override
      public List<TargetSpeed> measuredSpeeds(Instant now) {
        return load.takeSpeeds(now);
      }

      @Override
      public void speeds(List<TargetSpeed> speeds, Instant now) {
        load.setSharedSpeeds(speeds, now);
      }
    };
  }

  private DaemonStatus identity() {
    return DaemonStatus.of(
        settings.peer(),
        clock.instant().toEpochMilli(),
        settings.dataCentre(),
        0,
        0,
        false,
        false,
        settings.control().orElse(""));
  }

  /**
   * Starts every part; returns once all listen.
   *
   * @throws IOException if an address cannot be used
   * @throws ControlException if the data folder cannot be used
   */
  public void start() throws IOException, ControlException, InterruptedException {
    if (settings.isEntry()) {
      startEntry();
    }
    PeerService peers =
        PeerService.start(network, ControlDirectory.parseAddress(settings.peer()), log);
    ViewReports.logConfigurations(holder, log);
    ViewReports.logEvacuations(holder, log);
    if (settings.isControl()) {
      startControl(peers);
    }
    membership.start();
    ViewReports.registerGauges(holder, metrics, clock);
    if (settings.metrics().isPresent()) {
      startApi(settings.metrics().get(), request -> CompletableFuture.completedFuture(metrics()));
    }
    log.info(
        Event.of("node-started")
            .with("node", settings.label())
            .with("peer", settings.peer())
            .with("dataCentre", settings.dataCentre())
            .with("entry", settings.entry().orElse("none"))
            .with("control", settings.control().orElse("none"))
            .with("bootstrap", settings.isBootstrap())
            .with("seeds", settings.seeds())
            .with("millis", ProcessAge.millis()));
  }

  /**
   * Completes with the cause if a part without which the process is of no use ended by an error.
   * The process must then end, so that it is started again.
   */
  public CompletableFuture<Throwable> failure() {
    return failure;
  }

  private void startControl(PeerService peers) throws ControlException, InterruptedException {
    Path folder = settings.dataFolder().orElseThrow();
    ControlInstances.OpenedControl opened = ControlInstances.open(options(folder), log);
    boolean isFounder = settings.isBootstrap() && settings.seeds().contains(settings.peer());
    boolean isJoining = opened.isNew() && !isFounder;
    ControlInstances.OpenedControl control = isJoining ? opened.withoutInstances() : opened;
    ControlInstance started =
        control.start((to, message) -> links.send(to, (PeerMessage) message), clock, isJoining);
    instance = Optional.of(started);
    var unusedFailure = started.failure().thenAccept(failure::complete);
    peers.control(started);
    membership.local(started);
    groupJoiner =
        Optional.of(
            DaemonThreads.start(
                new GroupJoiner(settings.peer(), started, client, log, clock), "group-joiner"));
    ControlService service =
        new ControlService(
            settings.peer(),
            client,
            membership,
            holder,
            registrations,
            settings.evacuation().isPresent(),
            log,
            clock);
    controlThreads.add(DaemonThreads.start(weightsRollout(started, service), "weights-rollout"));
    metrics.gauge("engines_behind", () -> WeightsRollout.enginesBehind(holder.current()));
    readStores(started);
    startApi(settings.control().orElseThrow(), edges.control(service, workers));
  }

  private void readStores(ControlInstance started) {
    EventLoop loop = loops.next();
    StoreChangeLog changes = StoreChangeLog.create();
    StoreEventPollers.start(
        holder,
        edges.cache(),
        BufferingHttpClient.create(loop, edges.relay(), clock),
        loop,
        changes,
        log);
    started.readStores(changes::changesSince);
  }

  private WeightsRollout weightsRollout(ControlInstance started, ControlService service) {
    EngineOrders orders =
        new HttpEngineOrders(
            edges.orders(), BufferingHttpClient.create(loops.next(), edges.relay(), clock));
    return new WeightsRollout(
        settings.peer(), started, holder, orders, service::announce, workers, log, clock);
  }

  private ControlOptions options(Path folder) {
    return new ControlOptions(
        settings.peer(),
        settings.seeds(),
        folder,
        HEARTBEAT,
        ELECTION,
        SNAPSHOT_ENTRIES,
        TARGET_LEASE,
        DAEMON_LEASE,
        RUN_RETENTION,
        MAX_RUNS,
        settings.tolerated(),
        ProcessAge.startAsOf(clock.instant()));
  }

  private void startEntry() throws InterruptedException {
    Relay.Rules rules =
        new Relay.Rules(
            settings.dataCentre(),
            settings.retryShare(),
            settings.retryReserve(),
            settings.replacedWeights(),
            HoldPolicy.of(settings.heldRequests(), ProcessAge.startAsOf(clock.instant())),
            settings.isQueueFair(),
            settings.isCostLearned(),
            regions::current);
    Relay started =
        Relay.start(
            holder,
            membership.readiness(),
            edges.relay(),
            stores,
            rules,
            load,
            quarantine,
            limiter::entryInstances,
            loops,
            ControlDirectory.parseAddress(settings.entry().orElseThrow()),
            callerSocket,
            metrics,
            log,
            clock);
    relay = Optional.of(started);
    log.info(
        Event.of("entry-open")
            .with("entry", settings.entry().orElseThrow())
            .with("millis", ProcessAge.millis()));
    metrics.gauge("in_flight", started::inFlight);
    registerPermitGauges();
    registerColdGauges();
    metrics.gauge("quarantined_parts", () -> quarantine.size(clock.instant()));
    metrics.gauge("ready", () -> isReady() ? 1 : 0);
    startApi(settings.ready().orElseThrow(), edges.readiness(this::isReady));
  }

  private void registerPermitGauges() {
    TargetPermits permits = load.permits();
    metrics.gauge("target_permits_total.granted", () -> permits.counts().granted());
    metrics.gauge("target_permits_total.spent", () -> permits.counts().spent());
    metrics.gauge("target_permits_total.expired", () -> permits.counts().expired());
    metrics.gauge("requests_steered_at_limit_total", () -> permits.counts().steered());
  }

  private void registerColdGauges() {
    ColdTargets cold = load.cold();
    metrics.gauge("cold_targets", () -> cold.coldCount(clock.instant()));
    metrics.gauge("cold_requests_total.sent", () -> cold.counts().sent());
    metrics.gauge("cold_requests_total.withheld", () -> cold.counts().withheld());
  }

  private boolean isReady() {
    return membership.readiness().isReady(clock.instant())
        && holder.current().configuration().version() > 0;
  }

  private void startApi(String address, ApiServer.ApiHandler handler) throws InterruptedException {
    InetSocketAddress parsed = ControlDirectory.parseAddress(address);
    ApiServer.start(loops, parsed, handler, log);
  }

  private ApiServer.ApiAnswer metrics() {
    byte[] text = metrics.prometheusText().getBytes(StandardCharsets.UTF_8);
    return ApiServer.ApiAnswer.text(200, text);
  }

  /** Takes changed settings; only the seeds can change while the process runs. */
  public void reload(NodeSettings changed) {
    directory.replaceSeeds(changed.seeds());
    log.info(Event.of("settings-reloaded").with("seeds", changed.seeds()));
  }

  /**
   * Turns unready, finishes the requests under way, hands the vote and the leadership over and
   * stops.
   */
  public void shutdown() {
    Instant begun = clock.instant();
    log.info(Event.of("shutdown-started").with("inFlight", inFlight()));
    membership.readiness().leaving();
    membership.changed();
    CompletableFuture<Void> left = leaveGroup(begun);
    int cut = relay.map(running -> drain(running, begun)).orElse(0);
    left.join();
    instance.ifPresent(NodeRuntime::stopControl);
    membership.stop();
    links.close();
    network.close();
    log.info(Event.of("shutdown-finished").with("cut", cut));
  }

  /** Starts to leave the group of the control instances, if that manages its members. */
  private CompletableFuture<Void> leaveGroup(Instant begun) {
    if (instance.isEmpty() || settings.tolerated() == ControlOptions.MEMBERS_BY_OPERATORS) {
      return CompletableFuture.completedFuture(null);
    }
    groupJoiner.ifPresent(Thread::interrupt);
    GroupLeaver leaver = new GroupLeaver(settings.peer(), client, log, clock);
    return CompletableFuture.runAsync(() -> leaver.leave(begun, settings.grace()), workers);
  }

  /**
   * Ends everything at once, as the end of the process does; for a process that goes on without
   * this node.
   */
  @Override
  public void close() {
    membership.stop();
    groupJoiner.ifPresent(Thread::interrupt);
    controlThreads.forEach(Thread::interrupt);
    instance.ifPresent(NodeRuntime::stopControl);
    links.close();
    network.close();
    closeCallerSocket();
    workers.shutdownNow();
    var unused = loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private void closeCallerSocket() {
    try {
      if (callerSocket.isPresent()) {
        callerSocket.get().close();
      }
    } catch (IOException e) {
      log.warn(Event.of("caller-socket-not-closed").with("cause", e.getMessage()));
    }
  }

  private int drain(Relay running, Instant begun) {
    return RelayDrain.drain(running, membership.readiness(), settings.grace(), begun, clock);
  }

  private static void stopControl(ControlInstance running) {
    var unused =
        running
            .shutdown()
            .completeOnTimeout(null, CONTROL_STOP.toMillis(), TimeUnit.MILLISECONDS)
            .join();
  }

  private int inFlight() {
    return relay.map(Relay::inFlight).orElse(0);
  }
}

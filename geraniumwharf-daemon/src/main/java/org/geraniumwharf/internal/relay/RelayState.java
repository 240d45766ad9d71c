package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.limit.RequestLimit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.ColdExclusion;
import org.geraniumwharf.relay.EvacuationExclusion;
import org.geraniumwharf.relay.FirstTokenEstimate;
import org.geraniumwharf.relay.HoldPolicy;
import org.geraniumwharf.relay.Openings;
import org.geraniumwharf.relay.PlacementQuery;
import org.geraniumwharf.relay.PlacementRules;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.RequestProfile;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.RetryAfter;
import org.geraniumwharf.relay.TargetNotice;
import org.geraniumwharf.retry.RetryBudget;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/** State that all exchanges of one instance share. Thread-safe: each table has its own lock. */
final class RelayState {

  /** Queued requests that are dispatched again when a request ends. */
  private static final int MAX_WOKEN_REQUESTS = 8;

  /** Number of instances to divide the retry reserve by while no other instance is visible. */
  private static final int ASSUMED_INSTANCES = 32;

  private final RelayAdmission admission;
  private final RelayProtocol protocol;
  private final RelayPlacement placement;
  private final RelayLoadTable load;
  private final WeightsLimit weights;
  private final EvacuationExclusion evacuation;
  private final RegionRules regions;
  private final LoggedQuarantine quarantine;
  private final Relay.Rules rules;
  private final IntSupplier liveInstances;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final InstantSource clock;
  private final AtomicInteger inFlight = new AtomicInteger();

  /** Changes of the view and the permits. */
  private final AtomicLong news = new AtomicLong();

  private final Map<String, RelayQueue<RelayExchange>> queues = new ConcurrentHashMap<>();
  private final RelayTransfers transfers;
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
  private final Map<EventLoop, ColdChecks> coldChecks = new ConcurrentHashMap<>();
  private final Map<TargetConnectionPool, CrashWatch> crashWatches = new ConcurrentHashMap<>();

  private RelayState(
      RelayAdmission admission,
      RelayProtocol protocol,
      KnownStores stores,
      Relay.Rules rules,
      RelayLoadTable load,
      WeightsLimit weights,
      EvacuationExclusion evacuation,
      LoggedQuarantine quarantine,
      IntSupplier liveInstances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    this.regions = RegionRules.of(rules.regions(), metrics, log);
    this.transfers = RelayTransfers.create(admission, stores, regions);
    this.load = load;
    this.weights = weights;
    this.quarantine = quarantine;
    this.admission = admission;
    this.protocol = protocol;
    this.evacuation = evacuation;
    this.placement =
        RelayPlacement.of(
            placementRules(rules)
                .with(evacuation)
                .with(new ColdExclusion(load.cold()))
                .with(regions.exclusion())
                .withLimit(weights));
    this.rules = rules;
    this.liveInstances = liveInstances;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Creates the shared state and subscribes it to changes of the view.
   *
   * @param liveInstances number of live entry instances, including this one
   */
  static RelayState create(
      FleetViewHolder holder,
      Readiness readiness,
      RelayProtocol protocol,
      KnownStores stores,
      Relay.Rules rules,
      RelayLoadTable load,
      LoggedQuarantine quarantine,
      IntSupplier liveInstances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    // Before the routing, so that no request finds a new process without knowing that it is cold.
    holder.onChange((before, after) -> load.cold().replaceAnnounced(after.coldEnds()));
    load.cold().replaceAnnounced(holder.current().coldEnds());
    if (rules.isCostLearned()) {
      load.startLearning();
    }
    RelayAdmission admission = RelayAdmission.create(holder, readiness, log);
    WeightsLimit weights = WeightsLimit.create(holder, rules.weights(), metrics, log);
    RelayState relay =
        new RelayState(
            admission,
            protocol,
            stores,
            rules,
            load,
            weights,
            EvacuationExclusion.of(() -> holder.current().evacuated()),
            quarantine,
            liveInstances,
            metrics,
            log,
            clock);
    holder.onChange(
        (before, after) -> {
          relay.load.retainTargets(admission.routing().targetIds(), relay.now());
          weights.recordNamed(after);
          weights.retainTargets(admission.routing().targets());
          relay.wakeAllQueued();
        });
    return relay;
  }

  private static PlacementRules placementRules(Relay.Rules rules) {
    return rules.isCostLearned()
        ? PlacementRules.learned(rules.dataCentre())
        : PlacementRules.standard(rules.dataCentre());
  }

  RelayAdmission admission() {
    return admission;
  }

  RelayProtocol protocol() {
    return protocol;
  }

  HoldPolicy holdPolicy() {
    return rules.hold();
  }

  RelayLoadTable load() {
    return load;
  }

  LoggedQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the crash watch of a connection pool; used on the event loop of the pool. */
  CrashWatch crashWatch(TargetConnectionPool pool, EventLoop loop) {
    return crashWatches.computeIfAbsent(pool, watched -> new CrashWatch(this, loop, watched));
  }

  /** Returns the error for a generation whose prompt has a quarantined part. */
  Optional<ServingException> findQuarantined(ResolvedRequest request, Instant now) {
    if (!request.isGeneration()) {
      return Optional.empty();
    }
    Optional<String> part = quarantine.findQuarantined(CrashWatch.partsOf(request), now);
    part.ifPresent(found -> metrics.requestQuarantined());
    return part.map(ServingErrors::promptQuarantined);
  }

  /** Returns whether no request may begin at a target because its weights were replaced. */
  boolean isOverdue(RelayTarget target, Instant now) {
    return weights.isOverdue(target, now);
  }

  /** Returns whether a target is in a data centre that is evacuated. */
  boolean isEvacuated(RelayTarget target) {
    return evacuation.isExcluded(target);
  }

  /** Returns whether any data centre is evacuated. */
  boolean isEvacuating() {
    return evacuation.isActive();
  }

  /** Returns the error for a request whose targets are all in evacuated data centres. */
  Optional<ServingException> findEvacuated(ResolvedRequest request) {
    String service = request.service().name();
    return evacuation.isEveryExcluded(admission.routing().targetsOf(service))
        ? Optional.of(ServingErrors.dataCentresEvacuated(service))
        : Optional.empty();
  }

  /** Returns whether a request may be sent to the region of a target. */
  boolean isRegionAllowed(ResolvedRequest request, RelayTarget target) {
    return regions.allows(request, target.dataCentre());
  }

  /** Returns the error for a request that may be sent to no region in which there is a target. */
  Optional<ServingException> findRegionRefusal(ResolvedRequest request) {
    return regions.findRefusal(request, admission.routing().targetsOf(request.service().name()));
  }

  /** Returns the error for a request whose targets all have weights replaced too long ago. */
  Optional<ServingException> findOverdue(ResolvedRequest request, Instant now) {
    String service = request.service().name();
    if (!weights.isEveryOverdue(admission.routing().targetsOf(service), now)) {
      return Optional.empty();
    }
    metrics.requestWithoutUsableWeights();
    return Optional.of(ServingErrors.weightsOverdue(service));
  }

  /**
   * Records what a target states in a response about further requests.
   *
   * @param requestId request that the response answers
   */
  void recordNotice(RelayTarget target, TargetNotice notice, String requestId) {
    load.cold().recordStated(target, notice.coldFor(), now());
    if (!load.recordNotice(target, notice, now())) {
      return;
    }
    metrics.targetClosed(notice.isLeaving());
    log.info(
        Event.of(notice.isLeaving() ? "target-leaving" : "target-paused")
            .with("target", target.id())
            .with("incarnation", target.incarnation())
            .with("request", requestId)
            .with("pauseMillis", notice.pause().map(Duration::toMillis).orElse(0L))
            .with("view", admission.routing().view().index()));
  }

  /**
   * Records the limit that a target states in a response.
   *
   * @param statedFrom earliest time at which the response may have been formed
   * @param requestId request that the response answers
   */
  void recordLimit(RelayTarget target, RequestLimit limit, Instant statedFrom, String requestId) {
    load.permits()
        .recordResponse(target.id(), target.incarnation(), limit, statedFrom, now())
        .ifPresent(
            change -> {
              news.incrementAndGet();
              RelayLimits.logChange(log, change, requestId);
            });
  }

  /** Takes a permit for a request to a target; empty if the target is at its limit. */
  Optional<Permit> takePermit(RelayTarget target, Instant now) {
    return load.permits().take(target.id(), target.incarnation(), now);
  }

  /** Asks a target whether it is cold if the view may be too old to tell. */
  CompletableFuture<Void> checkCold(
      RelayTarget target, ResolvedRequest request, EventLoop loop, Instant now) {
    return coldChecks
        .computeIfAbsent(loop, this::newColdChecks)
        .beforeSend(target, request.service(), admission.sinceViewConfirmed(now), now);
  }

  private ColdChecks newColdChecks(EventLoop loop) {
    return new ColdChecks(BufferingHttpClient.create(loop, protocol, clock), load.cold(), clock);
  }

  /** Counts a request about to be sent; false if the target is cold and must not get it now. */
  boolean tryColdSend(RelayTarget target, ResolvedRequest request, Instant now) {
    return load.cold().trySend(target, request.service(), now);
  }

  /**
   * Returns when a request that finds only cold targets can be sent, behind those that are queued.
   */
  Instant expectedAtCold(ResolvedRequest request, Openings openings, Instant now) {
    int ahead = queue(request).size();
    return load.cold().expectedAt(openings.waitable(), request.service(), ahead, now);
  }

  /** Records bytes of a target that belong to no response. */
  void recordUnexpectedBytes(UnexpectedBytesListener.UnexpectedBytes bytes) {
    metrics.unexpectedBytes(bytes.cause().wireName());
    bytes.log(log, targetAt(bytes.address()));
  }

  void recordNotReused(ConnectionReuseListener.UnreusedConnection connection) {
    metrics.connectionNotReused(connection.cause().wireName());
    connection.log(log, targetAt(connection.address()));
  }

  /** Returns the targets at an address; a request to one that has gone may still be running. */
  private String targetAt(InetSocketAddress address) {
    String text = address.getAddress().getHostAddress() + ":" + address.getPort();
    return admission.routing().view().targets().stream()
        .map(TargetRecord::announcement)
        .filter(announcement -> announcement.address().equals(text))
        .map(Announcement::id)
        .collect(Collectors.joining(","));
  }

  DaemonMetrics metrics() {
    return metrics;
  }

  EventLog log() {
    return log;
  }

  Instant now() {
    return clock.instant();
  }

  InstantSource clock() {
    return clock;
  }

  AtomicInteger inFlight() {
    return inFlight;
  }

  RelayQueue<RelayExchange> queue(ResolvedRequest request) {
    return queues.computeIfAbsent(
        request.service().name(), name -> isQueueFair() ? RelayQueue.fair() : RelayQueue.create());
  }

  boolean isQueueFair() {
    return rules.isQueueFair();
  }

  /** Returns whether the response to a request will be late even if it is sent now. */
  boolean isGoalMissed(RelayRequest request, Instant now) {
    return admission
        .routing()
        .table()
        .route(request.host(), request.path())
        .filter(route -> !now.isBefore(request.arrivedAt().plusMillis(route.goalMillis())))
        .isPresent();
  }

  /**
   * Returns the Retry-After of a request that is refused because the targets are busy.
   *
   * @param expected time after which capacity is expected
   * @param remaining time until the deadline of the request
   */
  Duration overloadDelay(
      ResolvedRequest request, Duration expected, Duration remaining, Instant now) {
    String id = request.request().id();
    if (!isQueueFair()) {
      return RetryAfter.jitteredDelay(id, expected, remaining);
    }
    RequestProfile profile = RequestProfile.of(request, false);
    RelayQueue<RelayExchange> queue = queue(request);
    queue.recordRefused(profile, now);
    Duration drain = queue.drainTime(now);
    return RetryAfter.spreadDelay(
        id,
        drain.compareTo(expected) > 0 ? drain : expected,
        remaining,
        queue.expectedResponse(profile));
  }

  /** Learns from the first token or the response of a request that was sent at a time. */
  void recordFirstResponse(ResolvedRequest request, Optional<Instant> sentAt, Instant now) {
    if (isQueueFair() && sentAt.isPresent()) {
      queue(request)
          .recordFirstResponse(
              RequestProfile.of(request, false), Duration.between(sentAt.get(), now));
    }
  }

  /** Learns from the end of the response to a request that was sent at a time. */
  void recordResponse(ResolvedRequest request, Optional<Instant> sentAt, Instant now) {
    if (isQueueFair() && sentAt.isPresent()) {
      queue(request)
          .recordResponse(RequestProfile.of(request, false), Duration.between(sentAt.get(), now));
    }
  }

  /** Returns this instance's share of the retry budget of a service. */
  RetryBudget retryBudget(ResolvedRequest request) {
    double reserve = Math.max(1, rules.retryReserve() / budgetInstances());
    RetryBudget budget =
        retryBudgets.computeIfAbsent(
            request.service().name(), name -> RetryBudget.of(rules.retryShare(), reserve));
    budget.setReserve(reserve);
    return budget;
  }

  /**
   * Returns the number of instances that share the retry reserve. An instance that sees no other
   * one assumes many, so as not to spend the whole reserve alone.
   */
  private int budgetInstances() {
    int instances = liveInstances.getAsInt();
    return instances > 1 ? instances : ASSUMED_INSTANCES;
  }

  /** Decides on a target that was not tried yet. */
  RelayPlacement.Decision decide(ResolvedRequest request, Set<String> triedTargets, Instant now) {
    RelayPlacement.Decision decision =
        placement.decide(query(request, triedTargets, true, now), load);
    logOverdue(decision.overdue(), now);
    return decision;
  }

  private void logOverdue(List<RelayTarget> targets, Instant now) {
    for (RelayTarget target : targets) {
      isOverdue(target, now);
    }
  }

  /** Returns the number of changes of the reported load, the view and the permits. */
  long changes() {
    return news.get() + load.changes();
  }

  /** Chooses a target for a response that has started, including targets that are ejected. */
  Optional<RelayPlacement.Choice> chooseIncludingEjected(
      ResolvedRequest request, Set<String> triedTargets, Instant now) {
    return placement.chooseIncludingEjected(query(request, triedTargets, false, now), load);
  }

  /** Returns when the targets of a request that found none are expected to accept it. */
  Openings openings(ResolvedRequest request, Set<String> triedTargets, Instant now) {
    Openings openings = placement.openings(query(request, triedTargets, false, now), load);
    logOverdue(openings.overdue(), now);
    return openings;
  }

  private PlacementQuery query(
      ResolvedRequest request, Set<String> triedTargets, boolean countsStores, Instant now) {
    List<RelayTarget> targets = admission.routing().targetsOf(request.service().name());
    return new PlacementQuery(
        request,
        targets,
        triedTargets,
        liveInstances.getAsInt(),
        countsStores ? transfers.storedTokens(request, targets, now) : 0,
        transfers.rates(request),
        now);
  }

  /** Plans which parts a target fetches from and saves to cache stores for a request. */
  CacheTransfers planTransfers(ResolvedRequest request, RelayTarget target) {
    return transfers.plan(request, target, now());
  }

  /** Learns from the first token of a generation, or from its absence until now. */
  void recordFirstToken(ResolvedRequest request, FirstTokenEstimate estimate, Instant now) {
    transfers.recordFirstToken(request, estimate, now);
  }

  /**
   * Records that a request of a service ended, and wakes queued requests to use the free slot.
   *
   * @param isWorkDone whether a target worked on the request
   */
  void requestEnded(ResolvedRequest request, boolean isWorkDone, Instant now) {
    if (isWorkDone || !isQueueFair()) {
      queue(request).recordEnded(RequestProfile.workOf(request), now);
    }
    wakeQueued(request.service().name());
  }

  /** Wakes the first queued requests of each service after a change of the view or the permits. */
  void wakeAllQueued() {
    news.incrementAndGet();
    queues.keySet().forEach(this::wakeQueued);
  }

  /** Wakes the first queued requests of a service. */
  void wakeQueued(String service) {
    for (RelayQueue.Entry<RelayExchange> waiting :
        queues.get(service).first(MAX_WOKEN_REQUESTS, now())) {
      waiting.item().wakeFromQueue();
    }
  }

  /** Wakes the first queued requests of a service whose last decision may be outdated. */
  void wakeOutdated(ResolvedRequest request, Instant now) {
    for (RelayQueue.Entry<RelayExchange> waiting : queue(request).first(MAX_WOKEN_REQUESTS, now)) {
      waiting.item().wakeIfOutdated();
    }
  }
}

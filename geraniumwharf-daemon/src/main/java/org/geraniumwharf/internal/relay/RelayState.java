package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.RelayWork;
import org.geraniumwharf.relay.StoredParts;
import org.geraniumwharf.relay.TransferPlanner;
import org.geraniumwharf.retry.RetryBudget;
import org.geraniumwharf.schema.objects.CacheStore;

/** What the exchanges of one instance share. Its tables lock themselves. */
final class RelayState {

  private static final int MAX_WOKEN_REQUESTS = 8;
  private static final int ASSUMED_INSTANCES = 32;

  private final RelayAdmission admission;
  private final RelayProtocol protocol;
  private final RelayPlacement placement;
  private final RelayLoadTable load;
  private final Relay.Rules rules;
  private final IntSupplier liveInstances;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final InstantSource clock;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<String, RelayQueue<RelayExchange>> queues = new ConcurrentHashMap<>();
  private final StoredParts storedParts = StoredParts.create();
  private final TransferPlanner transfers = TransferPlanner.of(storedParts);
  private volatile Optional<StoreEventPollers> storePollers = Optional.empty();
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

  private RelayState(
      RelayAdmission admission,
      RelayProtocol protocol,
      Relay.Rules rules,
      RelayLoadTable load,
      IntSupplier instances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    this.load = load;
    this.admission = admission;
    this.protocol = protocol;
    this.placement = RelayPlacement.in(rules.dataCentre());
    this.rules = rules;
    this.liveInstances = instances;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Creates the shared part.
   *
   * @param liveInstances live entry instances, this one among them
   */
  static RelayState create(
      FleetViewHolder holder,
      Readiness readiness,
      RelayProtocol protocol,
      Relay.Rules rules,
      RelayLoadTable load,
      IntSupplier instances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    RelayAdmission admission = RelayAdmission.create(holder, readiness);
    RelayState front =
        new RelayState(admission, protocol, rules, load, instances, metrics, log, clock);
    holder.onChange(
        (before, after) -> {
          front.load.retain(admission.routing().targetIds());
          front.queues.keySet().forEach(front::wakeQueued);
        });
    return front;
  }

  RelayAdmission admission() {
    return admission;
  }

  RelayProtocol protocol() {
    return protocol;
  }

  RelayLoadTable load() {
    return load;
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

  RelayQueue<RelayExchange> queue(RelayWork work) {
    return queues.computeIfAbsent(work.service().name(), name -> new RelayQueue<>());
  }

  /** Returns this instance's part of the budget of repeats for a service. */
  RetryBudget retryBudget(RelayWork work) {
    double reserve = Math.max(1, rules.retryReserve() / budgetInstances());
    RetryBudget budget =
        retryBudgets.computeIfAbsent(
            work.service().name(), name -> RetryBudget.of(rules.retryShare(), reserve));
    budget.limitTo(reserve);
    return budget;
  }

  /** An instance that does not know of any other spends as if there were many. */
  private int budgetInstances() {
    int known = liveInstances.getAsInt();
    return known > 1 ? known : ASSUMED_INSTANCES;
  }

  Optional<RelayPlacement.Choice> choose(RelayWork work, Set<String> tried, Instant now) {
    List<RelayTarget> targets = admission.routing().of(work.service().name());
    return placement.choose(
        work, targets, load, storedTokens(work, targets), tried, liveInstances.getAsInt(), now);
  }

  /** Chooses for an answer that has begun, also among targets that rest after failures. */
  Optional<RelayPlacement.Choice> chooseIncludingEjected(
      RelayWork work, Set<String> tried, Instant now) {
    List<RelayTarget> targets = admission.routing().of(work.service().name());
    return placement.chooseEvenResting(work, targets, load, tried, liveInstances.getAsInt(), now);
  }

  private int storedTokens(RelayWork work, List<RelayTarget> targets) {
    if (!work.isGeneration() || targets.isEmpty()) {
      return 0;
    }
    return transfers.storedTokens(work, availableStores(), work.cacheScope(targets.get(0)));
  }

  private List<CacheStore> availableStores() {
    return storePollers.map(StoreEventPollers::availableStores).orElse(List.of());
  }

  /** Follows the cache stores over some calls from now on. */
  void pollStores(
      CacheProtocol cache, BufferingHttpClient calls, EventLoop loop, FleetViewHolder holder) {
    StoreEventPollers started = new StoreEventPollers(storedParts, cache, calls, loop, log);
    storePollers = Optional.of(started);
    started.updateStores(holder.current().configuration());
    holder.onChange(
        (before, after) -> {
          if (before.configuration() != after.configuration()) {
            started.updateStores(after.configuration());
          }
        });
  }

  /** Plans what a target exchanges with cache stores for a request. */
  CacheTransfers transfers(RelayWork work, RelayTarget target) {
    return transfers.plan(work, availableStores(), work.cacheScope(target), now());
  }

  /** Notes that a request of a service ended, and lets the next ones try for its place. */
  void requestEnded(RelayWork work, Instant now) {
    queue(work).ended(now);
    wakeQueued(work.service().name());
  }

  void wakeQueued(String service) {
    queues.get(service).inOrder().stream()
        .limit(MAX_WOKEN_REQUESTS)
        .forEach(waiting -> waiting.item().wakeFromQueue());
  }
}

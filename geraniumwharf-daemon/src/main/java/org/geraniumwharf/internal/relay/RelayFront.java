package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
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
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayWork;
import org.geraniumwharf.retry.RetryBudget;

/** What the exchanges of one instance share. Its tables lock themselves. */
final class RelayFront {

  private static final int WOKEN_AT_ONCE = 2;

  private final RelayAdmission admission;
  private final RelayProtocol protocol;
  private final RelayPlacement placement;
  private final RelayLoadTable load = RelayLoadTable.create();
  private final Relay.Rules rules;
  private final IntSupplier instances;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final InstantSource clock;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<String, RelayQueue<RelayExchange>> queues = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  private RelayFront(
      RelayAdmission admission,
      RelayProtocol protocol,
      Relay.Rules rules,
      IntSupplier instances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    this.admission = admission;
    this.protocol = protocol;
    this.placement = RelayPlacement.in(rules.dataCentre());
    this.rules = rules;
    this.instances = instances;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Creates the shared part.
   *
   * @param instances live entry instances, this one among them
   */
  static RelayFront create(
      FleetViewHolder holder,
      Readiness readiness,
      RelayProtocol protocol,
      Relay.Rules rules,
      IntSupplier instances,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    RelayAdmission admission = RelayAdmission.create(holder, readiness);
    RelayFront front =
        new RelayFront(admission, protocol, rules, instances, metrics, log, clock);
    holder.onChange(
        (before, after) -> {
          front.load.retain(admission.targets().ids());
          front.queues.keySet().forEach(front::wake);
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
  RetryBudget budget(RelayWork work) {
    return budgets.computeIfAbsent(
        work.service().name(),
        name ->
            RetryBudget.of(
                rules.retryShare(),
                Math.max(1, rules.retryReserve() / Math.max(1, instances.getAsInt()))));
  }

  Optional<RelayPlacement.Choice> choose(RelayWork work, Set<String> tried, Instant now) {
    return placement.choose(
        work,
        admission.targets().of(work.service().name()),
        load,
        tried,
        instances.getAsInt(),
        now);
  }

  /** Notes that a request of a service ended, and lets the next ones try for its place. */
  void ended(RelayWork work, Instant now) {
    queue(work).ended(now);
    wake(work.service().name());
  }

  void wake(String service) {
    queues.get(service).inOrder().stream()
        .limit(WOKEN_AT_ONCE)
        .forEach(waiting -> waiting.item().wake());
  }

  /** Returns the time after which a caller should ask again, within what it has left. */
  static Duration retryAfter(Duration expected, Duration left) {
    Duration bound = left.dividedBy(3);
    return expected.compareTo(bound) < 0 ? expected : bound;
  }
}

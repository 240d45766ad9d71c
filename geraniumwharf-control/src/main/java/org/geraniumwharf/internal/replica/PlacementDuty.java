package org.geraniumwharf.internal.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.placement.HeldBackOrder;
import org.geraniumwharf.placement.PlacementPlan;
import org.geraniumwharf.placement.PlacementPlanner;
import org.geraniumwharf.placement.PlacementSnapshot;
import org.geraniumwharf.placement.PlannedOrder;
import org.geraniumwharf.placement.ReplicaDemand;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.messages.DeploymentDemand;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.PlacementNote;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.WeightStore;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EndOrderCommand;
import org.geraniumwharf.schema.state.IssueOrderCommand;
import org.geraniumwharf.schema.state.OrderOutcome;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.RolloutAction;
import org.geraniumwharf.schema.state.SteerRolloutCommand;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.OrderProgress;
import org.geraniumwharf.schema.targets.OrderState;

/**
 * The placement loop of the leader: ends orders that completed, failed or exceeded their lease, and
 * proposes the next ones. Used by the replica thread only.
 *
 * <p>An order is a log entry, and a daemon hands out only orders that are committed in a fresh
 * view. A target that ignores fencing numbers gets no new order until {@link #UNFENCED_ORDER_DELAY}
 * after the previous one ended, because until then a daemon might still hand out the previous
 * order.
 */
final class PlacementDuty {

  /**
   * Sum of the greatest age of a view from which orders are handed out, the duration of one
   * announcement, and a margin.
   */
  private static final Duration UNFENCED_ORDER_DELAY = Duration.ofSeconds(4);

  /** Shortest time between two rounds. */
  private static final Duration MIN_ROUND_INTERVAL = Duration.ofMillis(100);

  /** Time between two rounds while the state does not change. */
  private static final Duration IDLE_ROUND_INTERVAL = Duration.ofSeconds(1);

  private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(1);
  private static final Duration BACKOFF_AFTER_FAILURE = Duration.ofSeconds(30);

  private final ControlOptions options;
  private final EventLog log;
  private final PlacementNotes notes = PlacementNotes.create();
  private final Map<String, Instant> lastOrderEnds = new HashMap<>();
  private final Map<String, Instant> lastOrderFailures = new HashMap<>();
  private final Map<Long, Instant> orderFirstSeen = new HashMap<>();
  private final Map<String, List<DeploymentDemand>> demandByDaemon = new HashMap<>();
  private ReplicaDemand replicaDemand = ReplicaDemand.create();
  private Instant leaderSince = Instant.MIN;
  private Instant lastRound = Instant.MIN;
  private long lastIndex;

  PlacementDuty(ControlOptions options, EventLog log) {
    this.options = options;
    this.log = log;
  }

  /** Discards the data of an earlier leadership. */
  void startLeadership(Instant now) {
    lastOrderEnds.clear();
    lastOrderFailures.clear();
    orderFirstSeen.clear();
    demandByDaemon.clear();
    notes.clear();
    replicaDemand = ReplicaDemand.create();
    leaderSince = now;
    lastRound = now;
    lastIndex = 0;
  }

  /** Records the demand that a daemon reports; it replaces the daemon's previous report. */
  void recordDemand(HeartbeatCall call) {
    demandByDaemon.put(call.daemon().name(), call.work());
  }

  /**
   * Runs one round and returns its commands. Returns none if no round is due, no daemon is live, or
   * a quorum has not confirmed this leader within {@link #MAX_VIEW_AGE}. New orders wait until a
   * target lease has passed since the start of this leadership.
   *
   * @param viewAge time since a quorum last confirmed this leader
   * @param liveDaemons names of the daemons whose demand counts; called only when a round is due
   */
  List<Command> tick(
      ControlState state,
      long term,
      Duration viewAge,
      Supplier<Set<String>> liveDaemons,
      Instant now) {
    Duration interval = state.index() == lastIndex ? IDLE_ROUND_INTERVAL : MIN_ROUND_INTERVAL;
    if (now.isBefore(lastRound.plus(interval)) || viewAge.compareTo(MAX_VIEW_AGE) > 0) {
      return List.of();
    }
    Set<String> live = liveDaemons.get();
    if (live.isEmpty()) {
      return List.of();
    }
    lastRound = now;
    lastIndex = state.index();
    demandByDaemon.keySet().retainAll(live);
    PlacementSnapshot placement = state.placement();
    List<Command> commands = endOrders(state, placement, now);
    if (!now.isBefore(leaderSince.plus(options.targetLease()))) {
      commands.addAll(planOrders(state, placement, term, now));
    }
    return commands;
  }

  // ------------------------------------------------------------------ open orders

  private List<Command> endOrders(ControlState state, PlacementSnapshot placement, Instant now) {
    List<Command> commands = new ArrayList<>();
    Set<Long> open = new HashSet<>();
    for (TargetRecord record : state.targets()) {
      if (record.order().isPresent()) {
        OrderRecord order = record.order().get();
        open.add(order.sequence());
        orderFirstSeen.putIfAbsent(order.sequence(), now);
        findOutcome(state, placement, record, order, now)
            .ifPresent(outcome -> commands.add(endOrder(record, order, outcome, now)));
      }
    }
    orderFirstSeen.keySet().retainAll(open);
    return commands;
  }

  private Command endOrder(
      TargetRecord record, OrderRecord order, OrderOutcome outcome, Instant now) {
    String target = record.announcement().id();
    lastOrderEnds.put(target, now);
    if (outcome == OrderOutcome.FAILED || outcome == OrderOutcome.LAPSED) {
      lastOrderFailures.put(target, now);
    }
    log.info(
        Event.of("order-ended")
            .with("target", target)
            .with("term", order.term())
            .with("sequence", order.sequence())
            .with("modelVersion", order.modelVersion())
            .with("outcome", outcome));
    notes.add(target, "order ended", outcome.toString(), now);
    return EndOrderCommand.of(target, order.sequence(), outcome, now.toEpochMilli());
  }

  private Optional<OrderOutcome> findOutcome(
      ControlState state,
      PlacementSnapshot placement,
      TargetRecord record,
      OrderRecord order,
      Instant now) {
    Announcement announcement = record.announcement();
    Optional<OrderState> reported =
        announcement
            .order()
            .filter(progress -> progress.sequence() == order.sequence())
            .map(OrderProgress::state);
    if (isCarriedOut(announcement, order)
        && reported.filter(OrderState.WORKING::equals).isEmpty()) {
      return Optional.of(OrderOutcome.DONE);
    }
    if (reported.filter(OrderState.FAILED::equals).isPresent()) {
      return Optional.of(OrderOutcome.FAILED);
    }
    if (!now.isBefore(orderFirstSeen.get(order.sequence()).plus(loadLease(state, order)))) {
      return Optional.of(OrderOutcome.LAPSED);
    }
    return reported.isEmpty() && isSuperseded(state, placement, order)
        ? Optional.of(OrderOutcome.WITHDRAWN)
        : Optional.empty();
  }

  /**
   * Returns whether the loaded weights that the target announces match the order, regardless of the
   * progress that it reports.
   */
  private static boolean isCarriedOut(Announcement announcement, OrderRecord order) {
    boolean isLoaded =
        announcement.loaded().stream()
            .anyMatch(
                loaded ->
                    loaded.modelVersion().equals(order.modelVersion())
                        && loaded.adapters().containsAll(order.adapters()));
    boolean isStillReplacing =
        announcement.loaded().stream()
            .anyMatch(loaded -> order.replaces().contains(loaded.modelVersion()));
    return isLoaded == order.load() && !isStillReplacing;
  }

  private static Duration loadLease(ControlState state, OrderRecord order) {
    return state
        .configuration()
        .weightStore(order.weightStore())
        .map(WeightStore::loadLeaseMillis)
        .map(Duration::ofMillis)
        .orElse(Duration.ofMinutes(1));
  }

  /**
   * Returns whether an order loads a version that its deployment no longer wants. Such an order is
   * withdrawn only while the target has not reported any progress on it.
   */
  private static boolean isSuperseded(
      ControlState state, PlacementSnapshot placement, OrderRecord order) {
    return order.load()
        && state
            .configuration()
            .deployment(order.deployment())
            .filter(deployment -> placement.wantedVersion(deployment).equals(order.modelVersion()))
            .isEmpty();
  }

  // ------------------------------------------------------------------- new orders

  private List<Command> planOrders(
      ControlState state, PlacementSnapshot placement, long term, Instant now) {
    PlacementPlan plan =
        PlacementPlanner.plan(
            placement, desiredReplicas(state, now), targetsInBackoff(state, now), term, now);
    List<Command> commands = new ArrayList<>();
    for (PlannedOrder planned : plan.orders()) {
      logOrder(planned, now);
      commands.add(IssueOrderCommand.of(planned.target(), planned.incarnation(), planned.order()));
    }
    for (HeldBackOrder heldBack : plan.heldBack()) {
      logHeldBack(heldBack, now);
    }
    for (String deployment : plan.finished()) {
      commands.add(
          SteerRolloutCommand.of(
              deployment, RolloutAction.FINISH, options.name(), now.toEpochMilli()));
    }
    return commands;
  }

  private void logOrder(PlannedOrder planned, Instant now) {
    OrderRecord order = planned.order();
    String decision = (order.load() ? "load " : "unload ") + order.modelVersion();
    notes.add(planned.target(), decision, planned.reason(), now);
    log.info(
        Event.of("placement")
            .with("target", planned.target())
            .with("incarnation", planned.incarnation())
            .with("term", order.term())
            .with("deployment", order.deployment())
            .with("decision", decision)
            .with("replaces", String.join(",", order.replaces()))
            .with("adapters", String.join(",", order.adapters()))
            .with("reason", planned.reason()));
  }

  /** Logs a held-back order only if its reason is new for the target, not in every round. */
  private void logHeldBack(HeldBackOrder heldBack, Instant now) {
    if (notes.add(heldBack.target(), "held back", heldBack.reason(), now)) {
      log.info(
          Event.of("placement")
              .with("target", heldBack.target())
              .with("decision", "none")
              .with("reason", heldBack.reason()));
    }
  }

  private Map<String, Integer> desiredReplicas(ControlState state, Instant now) {
    Map<String, Integer> desired = new HashMap<>();
    int slots = averageSlotsPerEngine(state);
    for (Deployment deployment : state.configuration().deployments()) {
      desired.put(
          deployment.name(),
          replicaDemand.desiredReplicas(deployment, inFlight(deployment), slots, now));
    }
    return desired;
  }

  private double inFlight(Deployment deployment) {
    return demandByDaemon.values().stream()
        .flatMap(List::stream)
        .filter(demanded -> demanded.deployment().equals(deployment.name()))
        .mapToDouble(DeploymentDemand::inFlight)
        .sum();
  }

  private static int averageSlotsPerEngine(ControlState state) {
    return (int)
        state.targets().stream()
            .flatMap(record -> record.announcement().profile().stream())
            .mapToInt(EngineProfile::slots)
            .average()
            .orElse(RoutableTarget.DEFAULT_PROFILE.slots());
  }

  /**
   * Returns the targets that get no order in this round: those within {@link
   * #BACKOFF_AFTER_FAILURE} of a failed order, and those that ignore fencing numbers and are within
   * {@link #UNFENCED_ORDER_DELAY} of the end of their last order, or of the start of this
   * leadership if none has ended in it.
   */
  private Set<String> targetsInBackoff(ControlState state, Instant now) {
    Set<String> inBackoff = new HashSet<>();
    for (TargetRecord record : state.targets()) {
      Announcement announcement = record.announcement();
      Instant lastEnd = lastOrderEnds.getOrDefault(announcement.id(), leaderSince);
      boolean mayBeOrdered =
          announcement.capabilities().filter(Capabilities::fencing).isPresent()
              || !now.isBefore(lastEnd.plus(UNFENCED_ORDER_DELAY));
      Instant failedAt = lastOrderFailures.get(announcement.id());
      boolean hasRecentFailure =
          failedAt != null && now.isBefore(failedAt.plus(BACKOFF_AFTER_FAILURE));
      if (!mayBeOrdered || hasRecentFailure) {
        inBackoff.add(announcement.id());
      }
    }
    return inBackoff;
  }

  /** Returns the latest decisions for a target, oldest first. */
  List<PlacementNote> notes(String target) {
    return notes.notesOf(target);
  }
}

package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.BeginLimit;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.weights.ReplacedWeights;

/**
 * Keeps requests from targets whose weights were replaced too long ago, whatever the state of the
 * rollout. Logs and counts the targets that it excludes. Thread-safe.
 */
final class WeightsLimit implements BeginLimit {

  private final FleetViewHolder holder;
  private final ReplacedWeights replaced;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final Set<RelayTarget> overdue = ConcurrentHashMap.newKeySet();

  private WeightsLimit(
      FleetViewHolder holder, ReplacedWeights replaced, DaemonMetrics metrics, EventLog log) {
    this.holder = holder;
    this.replaced = replaced;
    this.metrics = metrics;
    this.log = log;
  }

  /** Creates a limit that knows the weights that the present view names. */
  static WeightsLimit create(
      FleetViewHolder holder, ReplacedWeights.Bounds bounds, DaemonMetrics metrics, EventLog log) {
    WeightsLimit limit = new WeightsLimit(holder, ReplacedWeights.within(bounds), metrics, log);
    limit.recordNamed(holder.current());
    return limit;
  }

  /** Takes the weights that a new view names. */
  void recordNamed(FleetSnapshot view) {
    FleetViewHolder.NamedBefore before = holder.namedBefore();
    for (NamedDuration named : before.durations()) {
      replaced.recordNamedBefore(named, holder.confirmedTime(), before.confirmedAt());
    }
    for (NamedWeights named : view.namedWeights()) {
      replaced.recordNamed(named.model(), named.version(), holder.confirmedTime());
    }
  }

  /** Forgets the targets that are gone, or that hold other weights now. */
  void retainTargets(Collection<RelayTarget> targets) {
    overdue.retainAll(Set.copyOf(targets));
  }

  int overdueCount() {
    return overdue.size();
  }

  @Override
  public Optional<Duration> timeLeft(RelayTarget target, Instant now) {
    return replaced.timeLeft(target.model(), target.weightsVersion(), holder.confirmedTime(), now);
  }

  /** Returns whether no request may begin at a target any more. */
  boolean isOverdue(RelayTarget target, Instant now) {
    boolean isOverdue = timeLeft(target, now).filter(Duration.ZERO::equals).isPresent();
    if (isOverdue && overdue.add(target)) {
      logOverdue(target);
    }
    return isOverdue;
  }

  /** Returns whether there are targets and no request may begin at any of them. */
  boolean isEveryOverdue(List<RelayTarget> targets, Instant now) {
    for (RelayTarget target : targets) {
      if (!isOverdue(target, now)) {
        return false;
      }
    }
    return !targets.isEmpty();
  }

  private void logOverdue(RelayTarget target) {
    metrics.weightsOverdue();
    log.warn(
        Event.of("target-weights-overdue")
            .with("target", target.id())
            .with("incarnation", target.incarnation())
            .with("model", target.model())
            .with("weights", target.weightsVersion())
            .with(
                "namedWeights",
                holder.current().namedWeights(target.model()).map(NamedWeights::version).orElse(0L))
            .with("view", holder.current().index()));
  }
}

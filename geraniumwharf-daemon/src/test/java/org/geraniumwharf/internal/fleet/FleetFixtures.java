package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.schema.view.ViewChange;

/** Views for tests of other packages. */
public final class FleetFixtures {

  /** Age that a control instance states which has had no leader since its start. */
  private static final long NEVER_CONFIRMED_MILLIS = Duration.ofDays(1).toMillis();

  private FleetFixtures() {}

  /** Returns a holder with a fresh view. */
  public static FleetViewHolder holder(
      List<PublishedObject> objects, List<TargetRecord> targets, Instant now) {
    FleetViewHolder holder = FleetViewHolder.create();
    holder.apply(
        WatchSnapshot.of(
            FleetView.of(1, 1, objects, targets, List.of(), List.of(), List.of()),
            0,
            Optional.empty(),
            List.of()),
        now);
    return holder;
  }

  /** Returns a holder with a fresh view of engines and of the weights that operators name. */
  public static FleetViewHolder holderOfWeights(
      List<TargetRecord> targets, List<NamedWeights> weights, Instant now) {
    return holderOfWeights(targets, weights, List.of(), now);
  }

  /** Returns a holder with a first view that tells how long weights had been named. */
  public static FleetViewHolder holderOfWeights(
      List<TargetRecord> targets,
      List<NamedWeights> weights,
      List<NamedDuration> named,
      Instant now) {
    FleetViewHolder holder = FleetViewHolder.create();
    holder.apply(
        WatchSnapshot.of(
            FleetView.of(1, 1, List.of(), targets, List.of(), weights, List.of()),
            0,
            Optional.empty(),
            named),
        now);
    return holder;
  }

  /** Tells a holder of a change of an evacuation at an index. */
  public static void tellEvacuation(
      FleetViewHolder holder, long index, String dataCentre, boolean active, Instant now) {
    ViewChange change =
        ViewChange.of(
            holder.current().index(),
            index,
            holder.current().configuration().version(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(Evacuation.of(dataCentre, active, index, 0)));
    holder.apply(WatchDelta.of(change, 0, Optional.empty()), now);
  }

  /** Tells a holder that its view is the newest, from a control process that was started lately. */
  public static void confirm(FleetViewHolder holder, Duration up, Instant now) {
    holder.apply(
        WatchFreshness.of(holder.current().index(), 0, Optional.of(up.toMillis()), List.of()), now);
  }

  /** Tells a holder of a started control process without a leader, whose view is an older one. */
  public static void tellBehindWithoutLeader(FleetViewHolder holder, Duration up, Instant now) {
    holder.apply(
        WatchFreshness.of(0, NEVER_CONFIRMED_MILLIS, Optional.of(up.toMillis()), List.of()), now);
  }

  /** Replaces a view by one of engines and of the weights that operators name, at a later index. */
  public static void replaceWeights(
      FleetViewHolder holder, List<TargetRecord> targets, List<NamedWeights> weights, Instant now) {
    long index = holder.current().index() + 1;
    holder.apply(
        WatchSnapshot.of(
            FleetView.of(index, 1, List.of(), targets, List.of(), weights, List.of()),
            0,
            Optional.empty(),
            List.of()),
        now);
  }

  /** Returns a holder with a view of a control instance that has had no leader since its start. */
  public static FleetViewHolder holderOfNeverConfirmed(
      List<TargetRecord> targets, List<NamedWeights> weights, Instant now) {
    FleetViewHolder holder = FleetViewHolder.create();
    FleetView view = FleetView.of(1, 1, List.of(), targets, List.of(), weights, List.of());
    holder.apply(WatchSnapshot.of(view, NEVER_CONFIRMED_MILLIS, Optional.empty(), List.of()), now);
    return holder;
  }

  /** Tells a holder that its view is still the newest of a control instance without a leader. */
  public static void tellNeverConfirmed(FleetViewHolder holder, Instant now) {
    holder.apply(
        WatchFreshness.of(
            holder.current().index(), NEVER_CONFIRMED_MILLIS, Optional.empty(), List.of()),
        now);
  }
}

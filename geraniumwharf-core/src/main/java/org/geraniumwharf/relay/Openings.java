package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * When the targets of a request that found none are expected to accept it, derived from what
 * excludes them.
 *
 * @param waitable targets that may accept the request while it waits
 * @param overdue targets that are excluded because of their weights
 * @param opensAt time at which the first target is expected to accept the request, behind those
 *     that wait already; empty without a waitable target
 * @param earliestAt time before which no target accepts any request; empty without a waitable
 *     target
 * @param changesAt time before which the exclusions remain as they are unless the load, the view or
 *     the permits change
 * @param isAtLimit whether a waitable target is at its limit
 */
public record Openings(
    List<RelayTarget> waitable,
    List<RelayTarget> overdue,
    Optional<Instant> opensAt,
    Optional<Instant> earliestAt,
    Instant changesAt,
    boolean isAtLimit) {

  /** Collects the exclusions of one target after the other. */
  static final class Builder {

    private final PlacementQuery query;
    private final RelayLoadTable table;
    private final List<RelayTarget> waitable = new ArrayList<>();
    private final List<RelayTarget> overdue = new ArrayList<>();
    private Instant opensAt = Instant.MAX;
    private Instant earliestAt = Instant.MAX;
    private Instant changesAt;
    private boolean isAtLimit;

    private RelayTarget target;
    private RelayLoadTable.Load load;
    private Instant end;
    private boolean isTargetLasting;
    private boolean isTargetAtLimit;

    Builder(PlacementQuery query, RelayLoadTable table) {
      this.query = query;
      this.table = table;
      Instant expiry = table.remoteLoadExpiresAt();
      this.changesAt = expiry.isAfter(query.now()) ? expiry : Instant.MAX;
    }

    void startTarget(RelayTarget next, RelayLoadTable.Load nextLoad) {
      target = next;
      load = nextLoad;
      end = query.now();
      isTargetLasting = false;
      isTargetAtLimit = false;
    }

    void add(Exclusion exclusion) {
      Exclusion.Reason reason = exclusion.reason();
      if (reason == Exclusion.Reason.WEIGHTS_OVERDUE) {
        overdue.add(target);
      }
      if (exclusion.isLasting()) {
        isTargetLasting = true;
        return;
      }
      boolean isTimed = reason.effect() == Exclusion.Effect.TIMED;
      if (isTimed && exclusion.until().isPresent()) {
        end = later(end, exclusion.until().get());
      }
      if (reason == Exclusion.Reason.NO_PERMIT) {
        isTargetAtLimit = true;
      }
      exclusion.until().ifPresent(this::changesNotBefore);
      if (reason == Exclusion.Reason.EJECTED && load.probeFrom().isAfter(query.now())) {
        changesNotBefore(load.probeFrom());
      }
    }

    private void changesNotBefore(Instant time) {
      changesAt = time.isBefore(changesAt) ? time : changesAt;
    }

    void endTarget() {
      if (isTargetLasting) {
        return;
      }
      waitable.add(target);
      earliestAt = end.isBefore(earliestAt) ? end : earliestAt;
      Instant turn = isTargetAtLimit ? later(end, expectedPermitAt()) : end;
      opensAt = turn.isBefore(opensAt) ? turn : opensAt;
      if (isTargetAtLimit) {
        isAtLimit = true;
        // Without answers of the leader the instance issues permits of its own.
        changesAt = query.now();
      }
    }

    private Instant expectedPermitAt() {
      return table
          .permits()
          .expectedAt(
              target.id(), target.incarnation(), query.request().request().id(), query.now());
    }

    private static Instant later(Instant one, Instant other) {
      return one.isAfter(other) ? one : other;
    }

    Openings build() {
      boolean isAny = !waitable.isEmpty();
      return new Openings(
          List.copyOf(waitable),
          List.copyOf(overdue),
          isAny ? Optional.of(opensAt) : Optional.empty(),
          isAny ? Optional.of(earliestAt) : Optional.empty(),
          changesAt,
          isAtLimit);
    }
  }
}

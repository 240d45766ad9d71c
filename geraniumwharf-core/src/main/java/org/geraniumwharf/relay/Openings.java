package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.limit.TargetPermits;

/**
 * When the targets of a request that found none are expected to accept it, derived from what
 * excludes them.
 *
 * @param waitable targets that may accept the request while it waits; incomplete if one of them may
 *     accept it at any time
 * @param overdue targets that were found to be excluded because of their weights
 * @param opensAt time at which the first target is expected to accept the request, behind those
 *     that wait already; empty without a waitable target
 * @param earliestAt time before which no target accepts any request; empty without a waitable
 *     target
 * @param isAtLimit whether a waitable target is at its limit
 * @param isCold whether all waitable targets are cold
 */
public record Openings(
    List<RelayTarget> waitable,
    List<RelayTarget> overdue,
    Optional<Instant> opensAt,
    Optional<Instant> earliestAt,
    boolean isAtLimit,
    boolean isCold) {

  /** Collects the exclusions of one target after the other. */
  static final class Builder {

    private final PlacementQuery query;
    private final TargetPermits permits;
    private final List<RelayTarget> waitable = new ArrayList<>();
    private final List<RelayTarget> overdue = new ArrayList<>();
    private Instant opensAt = Instant.MAX;
    private Instant earliestAt = Instant.MAX;
    private boolean isAtLimit;
    private boolean isCold = true;

    private RelayTarget target;
    private Instant end = Instant.MIN;
    private boolean isTargetLasting;
    private boolean isTargetAtLimit;
    private boolean isTargetCold;

    Builder(PlacementQuery query, TargetPermits permits) {
      this.query = query;
      this.permits = permits;
    }

    void startTarget(RelayTarget next) {
      target = next;
      end = query.now();
      isTargetLasting = false;
      isTargetAtLimit = false;
      isTargetCold = false;
    }

    void add(Exclusion exclusion) {
      Exclusion.Reason reason = exclusion.reason();
      if (reason == Exclusion.Reason.WEIGHTS_OVERDUE) {
        overdue.add(target);
      }
      isTargetLasting |= exclusion.isLasting();
      isTargetCold |= reason == Exclusion.Reason.COLD;
      isTargetAtLimit |= reason == Exclusion.Reason.NO_PERMIT;
      if (reason.effect() == Exclusion.Effect.TIMED && exclusion.until().isPresent()) {
        end = later(end, exclusion.until().get());
      }
    }

    void endTarget() {
      if (isTargetLasting) {
        return;
      }
      waitable.add(target);
      isAtLimit |= isTargetAtLimit;
      isCold &= isTargetCold;
      earliestAt = end.isBefore(earliestAt) ? end : earliestAt;
      Instant turn = isTargetAtLimit ? later(end, expectedPermitAt()) : end;
      opensAt = turn.isBefore(opensAt) ? turn : opensAt;
    }

    private Instant expectedPermitAt() {
      return permits.expectedAt(
          target.id(), target.incarnation(), query.request().request().id(), query.now());
    }

    private static Instant later(Instant one, Instant other) {
      return one.isAfter(other) ? one : other;
    }

    /** Returns whether a target may accept the request at any time. */
    boolean isOpen() {
      return !opensAt.isAfter(query.now());
    }

    Openings build() {
      boolean isAny = !waitable.isEmpty();
      return new Openings(
          List.copyOf(waitable),
          List.copyOf(overdue),
          isAny ? Optional.of(opensAt) : Optional.empty(),
          isAny ? Optional.of(earliestAt) : Optional.empty(),
          isAtLimit,
          isAny && isCold);
    }
  }
}

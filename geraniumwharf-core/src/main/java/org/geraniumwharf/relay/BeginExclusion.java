package org.geraniumwharf.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Excludes targets at which a request is not expected to begin within a limit. */
final class BeginExclusion implements TargetExclusion {

  private static final Optional<Exclusion> OVERDUE =
      Exclusion.lasting(Exclusion.Reason.WEIGHTS_OVERDUE);

  private static final Optional<Exclusion> TOO_LATE =
      Exclusion.lasting(Exclusion.Reason.BEGINS_TOO_LATE);

  private final BeginLimit limit;
  private final EstimateTerm[] terms;

  BeginExclusion(BeginLimit limit, List<EstimateTerm> terms) {
    this.limit = limit;
    this.terms = terms.toArray(EstimateTerm[]::new);
  }

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    Optional<Duration> left = limit.timeLeft(target, query.now());
    if (left.isEmpty()) {
      return Optional.empty();
    }
    if (left.get().isZero()) {
      return OVERDUE;
    }
    double millis = RelayPlacement.totalMillis(terms, query, target, load);
    return millis >= left.get().toMillis() ? TOO_LATE : Optional.empty();
  }
}

package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the target with the fewest requests of this daemon in flight; a baseline for
 * measurements.
 */
public final class LeastInFlightPolicy implements RoutingPolicy {

  private LeastInFlightPolicy() {}

  public static LeastInFlightPolicy create() {
    return new LeastInFlightPolicy();
  }

  @Override
  public Optional<Decision> decide(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now) {
    return HealthyTargets.of(request, targets, load, now).stream()
        .min(Comparator.comparingInt(target -> load.inFlight(target.id())))
        .map(
            target ->
                Decision.of(
                    target, List.of(load.estimate(target, request, "least-in-flight", now))));
  }
}

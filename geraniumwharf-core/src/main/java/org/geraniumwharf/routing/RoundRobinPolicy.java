package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.schema.operators.CandidateTerms;

/**
 * Chooses the targets in rotation; a baseline for measurements and the policy for plain services.
 */
public final class RoundRobinPolicy implements RoutingPolicy {

  private final AtomicInteger next = new AtomicInteger();

  private RoundRobinPolicy() {}

  public static RoundRobinPolicy create() {
    return new RoundRobinPolicy();
  }

  @Override
  public Optional<Decision> decide(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now) {
    List<RoutableTarget> healthy = HealthyTargets.of(request, targets, load, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    int index = Math.floorMod(next.getAndIncrement(), healthy.size());
    RoutableTarget chosen = healthy.get(index);
    CandidateTerms terms = load.estimate(chosen, request, "turn", now);
    return Optional.of(Decision.of(chosen, List.of(terms)));
  }
}

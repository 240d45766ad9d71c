package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Chooses a target. Implementations neither block nor read a clock. */
public interface RoutingPolicy {

  /**
   * Chooses the target for a request.
   *
   * @param targets live targets that hold what the request needs
   * @param load load and health of the targets as observed by this daemon
   * @param now current time
   * @return the decision; empty when no target is left
   */
  Optional<Decision> decide(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now);
}

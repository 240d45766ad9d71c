package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * Selects the targets that are neither excluded nor ejected. Ejections are ignored when they would
 * leave less than half of the targets, since then the fault is more likely on the side of the
 * observing daemon.
 */
final class HealthyTargets {

  private HealthyTargets() {}

  static List<RoutableTarget> of(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now) {
    List<RoutableTarget> allowed = without(targets, request.excluded());
    List<RoutableTarget> healthy = without(allowed, load.ejected(now));
    return healthy.size() * 2 >= targets.size() ? healthy : allowed;
  }

  private static List<RoutableTarget> without(List<RoutableTarget> targets, Set<String> names) {
    return names.isEmpty()
        ? targets
        : targets.stream().filter(target -> !names.contains(target.id())).toList();
  }
}

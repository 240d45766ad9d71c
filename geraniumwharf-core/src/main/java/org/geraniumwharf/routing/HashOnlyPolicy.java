package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.prefix.PrefixAnchors;

/**
 * Chooses the target that the rendezvous hash of the context ranks first, whatever its load; a
 * baseline for measurements.
 */
public final class HashOnlyPolicy implements RoutingPolicy {

  private HashOnlyPolicy() {}

  public static HashOnlyPolicy create() {
    return new HashOnlyPolicy();
  }

  @Override
  public Optional<Decision> decide(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now) {
    long key =
        PrefixAnchors.of(request.pieces()).stream()
            .findFirst()
            .map(anchor -> anchor.low())
            .orElseGet(() -> RendezvousHash.keyOf(request.affinity()));
    return RendezvousHash.preferredTarget(HealthyTargets.of(request, targets, load, now), key)
        .map(target -> Decision.of(target, List.of(load.estimate(target, request, "home", now))));
  }
}

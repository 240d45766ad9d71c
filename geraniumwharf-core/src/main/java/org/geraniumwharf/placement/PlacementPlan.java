package org.geraniumwharf.placement;

import java.util.List;

/**
 * The next steps of placement.
 *
 * @param orders orders that together keep every bound
 * @param heldBack orders that a bound prevents
 * @param finished deployments whose rollout is complete
 */
public record PlacementPlan(
    List<PlannedOrder> orders, List<HeldBackOrder> heldBack, List<String> finished) {

  public PlacementPlan {
    orders = List.copyOf(orders);
    heldBack = List.copyOf(heldBack);
    finished = List.copyOf(finished);
  }
}

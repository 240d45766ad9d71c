package org.geraniumwharf.relay;

import java.util.Optional;

/**
 * Excludes targets without free capacity where costs are learned. A plain target is full if this
 * instance fills it alone or if it refused a request a moment ago; reported counts are too old to
 * exclude it.
 */
final class LearnedCapacity implements TargetExclusion {

  private static final Optional<Exclusion> SLOTS_OCCUPIED =
      Optional.of(new Exclusion(Exclusion.Reason.SLOTS_OCCUPIED, Optional.empty()));

  private final TargetCapacity engines = new TargetCapacity();

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    if (query.isGeneration()) {
      return engines.find(query, target, load);
    }
    if (load.learned().own() >= TargetCapacity.slots(query, target)) {
      return SLOTS_OCCUPIED;
    }
    return load.learned().refusal(query.now());
  }
}

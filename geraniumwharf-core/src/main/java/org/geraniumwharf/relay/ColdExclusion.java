package org.geraniumwharf.relay;

import java.util.Optional;

/** Keeps requests from cold targets beyond the share of this instance. */
public final class ColdExclusion implements TargetExclusion {

  private final ColdTargets cold;

  public ColdExclusion(ColdTargets cold) {
    this.cold = cold;
  }

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return cold.exclusion(target, query.request().service(), query.now());
  }
}

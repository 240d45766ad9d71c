package org.geraniumwharf.relay;

import java.util.Optional;
import java.util.function.Supplier;

/** Excludes targets in regions in which a request must not be served. */
public final class RegionExclusion implements TargetExclusion {

  private static final Optional<Exclusion> NOT_ALLOWED =
      Exclusion.lasting(Exclusion.Reason.REGION_NOT_ALLOWED);

  private final Supplier<DataCentreRegions> regions;

  private RegionExclusion(Supplier<DataCentreRegions> regions) {
    this.regions = regions;
  }

  /**
   * Creates an exclusion.
   *
   * @param regions returns the regions that are known now
   */
  public static RegionExclusion of(Supplier<DataCentreRegions> regions) {
    return new RegionExclusion(regions);
  }

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    if (!query.isRestrictedToRegions()
        || regions.get().allows(query.request(), target.dataCentre())) {
      return Optional.empty();
    }
    return NOT_ALLOWED;
  }
}

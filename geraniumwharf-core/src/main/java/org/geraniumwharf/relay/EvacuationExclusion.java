package org.geraniumwharf.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Excludes the targets of data centres that are evacuated. */
public final class EvacuationExclusion implements TargetExclusion {

  private static final Optional<Exclusion> EVACUATED =
      Exclusion.lasting(Exclusion.Reason.DATA_CENTRE_EVACUATED);

  private final Supplier<Set<String>> evacuated;

  private EvacuationExclusion(Supplier<Set<String>> evacuated) {
    this.evacuated = evacuated;
  }

  /**
   * Creates an exclusion.
   *
   * @param evacuated returns the data centres that the newest view tells to be evacuated
   */
  public static EvacuationExclusion of(Supplier<Set<String>> evacuated) {
    return new EvacuationExclusion(evacuated);
  }

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return isExcluded(target) ? EVACUATED : Optional.empty();
  }

  /** Returns whether a target gets no requests now, whatever an earlier decision was. */
  public boolean isExcluded(RelayTarget target) {
    return evacuated.get().contains(target.dataCentre());
  }

  /** Returns whether any data centre is evacuated. */
  public boolean isActive() {
    return !evacuated.get().isEmpty();
  }

  /** Returns whether there are targets and none of them gets requests. */
  public boolean isEveryExcluded(List<RelayTarget> targets) {
    Set<String> dataCentres = evacuated.get();
    if (dataCentres.isEmpty() || targets.isEmpty()) {
      return false;
    }
    for (RelayTarget target : targets) {
      if (!dataCentres.contains(target.dataCentre())) {
        return false;
      }
    }
    return true;
  }
}

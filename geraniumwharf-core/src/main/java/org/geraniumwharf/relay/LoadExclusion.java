package org.geraniumwharf.relay;

import java.util.Optional;

/** Rules that follow from the request and from what this instance knows of a target. */
enum LoadExclusion implements TargetExclusion {

  /** A request is sent to each target once at most. */
  TRIED {
    private static final Optional<Exclusion> FOUND = Exclusion.lasting(Exclusion.Reason.TRIED);

    @Override
    public Optional<Exclusion> find(
        PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return !query.tried().isEmpty() && query.tried().contains(target.id())
          ? FOUND
          : Optional.empty();
    }
  },

  /** What the target announced in its responses. */
  CLOSED {
    @Override
    public Optional<Exclusion> find(
        PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.closed();
    }
  },

  /** Recent failures and rejections. */
  EJECTED {
    @Override
    public Optional<Exclusion> find(
        PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.ejected();
    }
  },

  /** The limit that the target stated. */
  AT_LIMIT {
    @Override
    public Optional<Exclusion> find(
        PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.atLimit();
    }
  }
}

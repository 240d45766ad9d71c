package org.geraniumwharf.relay;

import org.geraniumwharf.internal.routing.RendezvousHash;

/** Terms that follow from the prompt of a request and from the load of a target. */
enum LoadTerm implements EstimateTerm {

  /** Time to the first token of a generation at an idle engine. */
  FIRST_TOKEN {
    @Override
    double engineMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      int cached = load.cachedTokens();
      int stored = query.storedTokens();
      double fetched = Math.max(0, stored - cached);
      double missing = query.request().request().promptTokens() - cached - fetched;
      if (query.isPreferred(target)) {
        int available = Math.max(stored, cached);
        missing -= PREFERRED_TARGET_CACHED_SHARE * Math.max(0, query.sharedTokens() - available);
      }
      return FIRST_TOKEN_OVERHEAD_MILLIS
          + query.rates().computeMillis(missing)
          + query.rates().fetchMillis(fetched);
    }

    @Override
    public boolean isOwnWork() {
      return true;
    }
  },

  /** Time until the requests at an engine that have no first token yet have theirs. */
  BACKLOG {
    @Override
    double engineMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.backlogMillis();
    }
  },

  /** Delay by the requests at a target. */
  IN_FLIGHT {
    @Override
    double engineMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.inFlight() * MILLIS_PER_RUNNING_REQUEST;
    }

    @Override
    double plainMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return load.inFlight() * MILLIS_PER_PLAIN_REQUEST;
    }
  },

  /** Delay by the occupied memory of an engine. */
  MEMORY {
    @Override
    double engineMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      long tokens = query.engine().orElseThrow().cacheTokens();
      return FULL_MEMORY_MILLIS * load.footprint() / tokens;
    }
  },

  /** Ranks plain targets with about the same load differently for each request. */
  JITTER {
    @Override
    double plainMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      long weight = RendezvousHash.weight(target.hash(), query.requestKey());
      return PLAIN_JITTER_MILLIS * RendezvousHash.fraction(weight);
    }
  };

  /** Time to the first token besides the prefill of the prompt. */
  private static final double FIRST_TOKEN_OVERHEAD_MILLIS = 10;

  /** Delay that each running request adds to another one at an engine. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 2;

  /** Delay that each request in flight adds to the next one at a plain target. */
  private static final double MILLIS_PER_PLAIN_REQUEST = 20;

  /**
   * Share of a context that its preferred target is expected to have cached although this instance
   * never sent it there.
   */
  private static final double PREFERRED_TARGET_CACHED_SHARE = 0.6;

  /** Delay at an engine whose whole memory is occupied. */
  private static final double FULL_MEMORY_MILLIS = 150;

  /** Plain targets whose estimates differ by less than this are ranked by a hash of the request. */
  private static final double PLAIN_JITTER_MILLIS = 25;

  @Override
  public double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return query.isGeneration()
        ? engineMillis(query, target, load)
        : plainMillis(query, target, load);
  }

  /** Returns the value for a generation. */
  double engineMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return 0;
  }

  /** Returns the value for a request that is no generation. */
  double plainMillis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return 0;
  }
}

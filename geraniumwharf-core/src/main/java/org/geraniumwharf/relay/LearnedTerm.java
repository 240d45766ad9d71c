package org.geraniumwharf.relay;

import org.geraniumwharf.internal.routing.RendezvousHash;

/** Terms that take the place of the {@link LoadTerm}s where costs are learned. */
enum LearnedTerm implements EstimateTerm {

  /**
   * Delay at a plain target. Targets are chosen at random with probabilities proportional to their
   * expected free work, so that instances with the same reports do not choose the same target. The
   * requests of this instance, which are known exactly, are spread over all targets.
   */
  PLAIN {
    @Override
    public double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      if (query.isGeneration()) {
        return 0;
      }
      LearnedLoad learned = load.learned();
      int slots = TargetCapacity.slots(query, target);
      double free =
          Math.max(MIN_FREE_SHARE * slots, slots - learned.own() - learned.others())
              / learned.slowdown();
      // The least of exponential numbers divided by weights is at each with the share of its
      // weight.
      long weight = RendezvousHash.weight(target.hash(), query.requestKey());
      double race = -Math.log1p(-RendezvousHash.fraction(weight));
      return MILLIS_PER_SLOT * slots * (OWN_REQUEST * learned.own() + race) / free;
    }
  },

  /** Delay by the requests at an engine. */
  IN_FLIGHT {
    @Override
    public double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      return query.isGeneration() ? LoadTerm.IN_FLIGHT.millis(query, target, load) : 0;
    }
  },

  /** Time by which an engine that is slower than others is later. */
  SLOWDOWN {
    @Override
    public double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
      if (!query.isGeneration() || load.learned().slowdown() == 1) {
        return 0;
      }
      double usual =
          LoadTerm.FIRST_TOKEN.millis(query, target, load)
              + LoadTerm.BACKLOG.millis(query, target, load);
      return (load.learned().slowdown() - 1) * usual;
    }
  };

  /** A target that is expected to be full gets this share of the requests of an idle one. */
  private static final double MIN_FREE_SHARE = 0.03;

  /** Part of the random number that one own request outweighs; two thirds of them are below 1. */
  private static final double OWN_REQUEST = 2;

  /** Unit of the delay, ms; only the order of the targets matters. */
  private static final double MILLIS_PER_SLOT = 10;
}

package org.geraniumwharf.relay;

import java.util.Optional;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Excludes targets without free capacity, so that load peaks wait in queues that respect priorities
 * and deadlines instead of at the targets. An engine that runs out of memory preempts running
 * requests and recomputes them; large requests therefore leave a part of its memory to small ones,
 * which arrive in short bursts.
 */
final class TargetCapacity implements TargetExclusion {

  /**
   * Requests per slot that a target may have; those beyond its slots wait in the queue of the
   * target.
   */
  private static final int SLOT_OVERCOMMIT = 2;

  private static final int DEFAULT_SLOTS = 8;

  /**
   * Fewest requests that an instance may have at a target while it has no report of remote load.
   */
  private static final int MIN_INSTANCE_SHARE = 4;

  /** Fraction of the memory of an engine up to which requests of each size may fill it. */
  private static final double MAX_FILL_LARGE_REQUESTS = 0.85;

  private static final double MAX_FILL_SMALL_REQUESTS = 1.0;

  /** Fraction of the memory of an engine below which a request counts as small. */
  private static final double SMALL_REQUEST_MEMORY_SHARE = 0.04;

  private static final Optional<Exclusion> SLOTS_OCCUPIED =
      Optional.of(new Exclusion(Exclusion.Reason.SLOTS_OCCUPIED, Optional.empty()));

  private static final Optional<Exclusion> MEMORY_OCCUPIED =
      Optional.of(new Exclusion(Exclusion.Reason.MEMORY_OCCUPIED, Optional.empty()));

  @Override
  public Optional<Exclusion> find(
      PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    int inFlight = load.inFlight();
    boolean hasRemoteReport = load.hasRemoteReport();
    int max = SLOT_OVERCOMMIT * slots(query, target);
    int maxHere =
        hasRemoteReport ? max : Math.max(MIN_INSTANCE_SHARE, max / Math.max(1, query.instances()));
    if (inFlight >= maxHere) {
      return SLOTS_OCCUPIED;
    }
    return hasFreeMemory(query, load, hasRemoteReport) ? Optional.empty() : MEMORY_OCCUPIED;
  }

  /** Returns the requests that a target runs at a time. */
  static int slots(PlacementQuery query, RelayTarget target) {
    return slots(query.engine(), target);
  }

  /** Returns the requests that a target of a service runs at a time. */
  static int slots(Optional<EngineCapacity> engine, RelayTarget target) {
    if (engine.isPresent()) {
      return engine.get().slots();
    }
    return target.slots() > 0 ? target.slots() : DEFAULT_SLOTS;
  }

  private static boolean hasFreeMemory(
      PlacementQuery query, RelayLoadTable.Load load, boolean hasRemoteReport) {
    if (!query.isGeneration() || load.inFlight() == 0) {
      return true;
    }
    EngineCapacity engine = query.engine().orElseThrow();
    long tokens = engine.cacheTokens();
    double occupied = load.footprint() * (hasRemoteReport ? 1.0 : query.instances() / 2.0);
    boolean isSmall = query.footprint() < SMALL_REQUEST_MEMORY_SHARE * tokens;
    return occupied + query.footprint()
        <= (isSmall ? MAX_FILL_SMALL_REQUESTS : MAX_FILL_LARGE_REQUESTS) * tokens;
  }
}

package org.geraniumwharf.relay;

import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Decides whether a target has free capacity for a request, so that load peaks wait in queues that
 * respect priorities and deadlines instead of at the targets. An engine that runs out of memory
 * preempts running requests and recomputes them; large requests therefore leave a part of its
 * memory to small ones, which arrive in short bursts.
 */
final class TargetCapacity {

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

  private TargetCapacity() {}

  static boolean hasFreeCapacity(
      ResolvedRequest resolved, RelayTarget target, RelayLoadTable.Load load, int instances) {
    int max = SLOT_OVERCOMMIT * slots(resolved, target);
    int maxHere =
        load.hasRemoteReport() ? max : Math.max(MIN_INSTANCE_SHARE, max / Math.max(1, instances));
    return load.inFlight() < maxHere && hasFreeMemory(resolved, load, instances);
  }

  private static int slots(ResolvedRequest resolved, RelayTarget target) {
    int announced = target.slots() > 0 ? target.slots() : DEFAULT_SLOTS;
    return resolved.service().engine().map(EngineCapacity::slots).orElse(announced);
  }

  private static boolean hasFreeMemory(
      ResolvedRequest resolved, RelayLoadTable.Load load, int instances) {
    if (!resolved.isGeneration() || load.inFlight() == 0) {
      return true;
    }
    long tokens = resolved.service().engine().orElseThrow().cacheTokens();
    double occupied = load.footprint() * (load.hasRemoteReport() ? 1.0 : instances / 2.0);
    boolean isSmall = resolved.footprint() < SMALL_REQUEST_MEMORY_SHARE * tokens;
    return occupied + resolved.footprint()
        <= (isSmall ? MAX_FILL_SMALL_REQUESTS : MAX_FILL_LARGE_REQUESTS) * tokens;
  }
}

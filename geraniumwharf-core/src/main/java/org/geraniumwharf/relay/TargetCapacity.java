package org.geraniumwharf.relay;

import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Whether a target has room for a request, so that a crest waits in queues that know ranks and
 * deadlines and not at the targets. An engine whose memory runs out preempts what it runs and reads
 * it again; large requests therefore leave a part of its memory to small ones, which come in short
 * bursts.
 */
final class TargetCapacity {

  /** Requests that a plain target is given, relative to its slots; the rest waits in its queue. */
  private static final int SLOT_OVERCOMMIT = 2;

  private static final int DEFAULT_SLOTS = 8;

  /** Fewest requests that an instance may have at a target while it does not know the others'. */
  private static final int MIN_INSTANCE_SHARE = 4;

  /** Part of an engine's memory that large requests may fill, and that small ones may. */
  private static final double MAX_FILL_LARGE_REQUESTS = 0.85;

  private static final double MAX_FILL_SMALL_REQUESTS = 1.0;

  /** Part of an engine's memory up to which a request is small. */
  private static final double SMALL_REQUEST_MEMORY_SHARE = 0.04;

  private TargetCapacity() {}

  static boolean hasFreeCapacity(
      ResolvedRequest work, RelayTarget target, RelayLoadTable.Load load, int instances) {
    int most = SLOT_OVERCOMMIT * slots(work, target);
    int mostHere =
        load.hasRemoteReport() ? most : Math.max(MIN_INSTANCE_SHARE, most / Math.max(1, instances));
    return load.inFlight() < mostHere && hasFreeMemory(work, load, instances);
  }

  private static int slots(ResolvedRequest work, RelayTarget target) {
    int announced = target.slots() > 0 ? target.slots() : DEFAULT_SLOTS;
    return work.service().engine().map(EngineCapacity::slots).orElse(announced);
  }

  private static boolean hasFreeMemory(
      ResolvedRequest work, RelayLoadTable.Load load, int instances) {
    if (!work.isGeneration() || load.inFlight() == 0) {
      return true;
    }
    long tokens = work.service().engine().orElseThrow().cacheTokens();
    double occupied = load.footprint() * (load.hasRemoteReport() ? 1.0 : instances / 2.0);
    boolean isSmall = work.footprint() < SMALL_REQUEST_MEMORY_SHARE * tokens;
    return occupied + work.footprint()
        <= (isSmall ? MAX_FILL_SMALL_REQUESTS : MAX_FILL_LARGE_REQUESTS) * tokens;
  }
}

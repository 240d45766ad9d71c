package org.geraniumwharf.relay;

import org.geraniumwharf.schema.messages.EntryRank;

/** Divides the requests per second of a cold target among the ranked instances. */
final class ColdShare {

  private ColdShare() {}

  /**
   * Returns the requests per second that an instance may send. The shares of all instances of a
   * ranking add up to at most {@code divided}.
   *
   * @param targetHash hash of the target, which selects the instances
   * @param divided requests per second that are divided among the instances of the ranking
   */
  static int of(EntryRank ranked, long targetHash, int divided) {
    int instances = ranked.instances();
    if (instances <= 0 || ranked.rank() < 0 || ranked.rank() >= instances) {
      return 0;
    }
    if (instances <= divided) {
      return divided / instances;
    }
    // Selects `divided` of the positions from 0 to `instances` - 1, at even distances.
    long position = Math.floorMod(ranked.rank() - targetHash, (long) instances);
    return position * divided % instances < divided ? 1 : 0;
  }
}

package org.geraniumwharf.internal.raft;

import java.util.Optional;

/**
 * Provides the newest durable snapshot, which a leader sends to a replica whose next entry is no
 * longer in the log.
 */
public interface SnapshotSource {

  /** Returns the newest durable snapshot, or empty if none was taken yet. */
  Optional<RaftSnapshot> latest();
}

package org.geraniumwharf.internal.raft;

import java.util.Optional;

/** Gives the newest durable snapshot, for a replica that is too far behind. */
public interface SnapshotSource {

  Optional<RaftSnapshot> latest();
}

package org.geraniumwharf.internal.storage;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.SnapshotSource;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/** Durable state of one replica. Used by one thread. */
public interface ReplicaStorage extends SnapshotSource {

  /**
   * Appends and syncs; an entry at an index that is already held replaces it and all after it.
   *
   * @throws StorageException if nothing of this call is durable; it may be called again
   */
  void append(Optional<HardState> hardState, List<LogEntry> entries) throws StorageException;

  /**
   * Makes a snapshot durable and drops what it stands for.
   *
   * @param hardState newest hard state, carried over into the new log
   * @param retained entries after the snapshot
   * @throws StorageException if the old state is still the one in force
   */
  void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained)
      throws StorageException;

  /** Returns the bytes that may still be written. */
  long usableBytes() throws StorageException;
}

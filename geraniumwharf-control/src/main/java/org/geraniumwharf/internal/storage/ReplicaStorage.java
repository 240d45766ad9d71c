package org.geraniumwharf.internal.storage;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.SnapshotSource;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/** Durable state of one replica. Not thread-safe: one thread uses it. */
public interface ReplicaStorage extends SnapshotSource {

  /**
   * Appends and syncs. An entry at an existing index replaces that entry and all after it.
   *
   * @throws StorageException if the call failed; none of its records counts as durable, and the
   *     call may be repeated
   */
  void append(Optional<HardState> hardState, List<LogEntry> entries) throws StorageException;

  /**
   * Makes a snapshot durable and removes the log entries that it covers.
   *
   * @param hardState newest hard state, which is copied to the new log
   * @param retained entries after the snapshot
   * @throws StorageException if saving failed; what was durable before still is, and the call may
   *     be repeated
   */
  void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained)
      throws StorageException;

  /** Returns the free space of the file system, in bytes. */
  long usableBytes() throws StorageException;
}

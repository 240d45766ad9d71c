package org.geraniumwharf.internal.storage;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * The state that a data folder held when it was opened.
 *
 * @param hardState newest durable term and vote
 * @param snapshot newest durable snapshot
 * @param entries entries after the snapshot
 * @param isNew whether the folder held no state on which other replicas may rely
 * @param cutBytes length of what an incomplete last append left, which was truncated, in bytes
 */
public record RecoveredState(
    HardState hardState,
    Optional<RaftSnapshot> snapshot,
    List<LogEntry> entries,
    boolean isNew,
    long cutBytes) {

  public RecoveredState {
    entries = List.copyOf(entries);
  }
}

package org.geraniumwharf.internal.storage;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * What a data folder held when it was opened.
 *
 * @param hardState newest durable term and vote
 * @param snapshot newest durable snapshot
 * @param entries entries after the snapshot
 * @param isNew whether the folder held nothing that other replicas may count on
 * @param cutBytes bytes of a torn tail that were cut off
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

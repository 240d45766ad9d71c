package org.geraniumwharf.internal.raft;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * Work that results from an input. The caller first makes the snapshot, hard state and entries
 * durable, then calls {@link RaftCore#markPersisted}, then sends the messages and applies the
 * committed entries.
 *
 * @param snapshot snapshot received from the leader, which replaces the whole log and state
 * @param hardState term, vote and recovery state, if they changed
 * @param entries entries to append; they replace all stored entries from the index of the first one
 *     on
 * @param messages messages to send after the snapshot, hard state and entries are durable
 * @param committedEntries entries to apply, in index order
 * @param confirmedReads reads to serve after {@code committedEntries} are applied
 */
public record RaftOutput(
    Optional<RaftSnapshot> snapshot,
    Optional<HardState> hardState,
    List<LogEntry> entries,
    List<OutgoingMessage> messages,
    List<LogEntry> committedEntries,
    List<ConfirmedRead> confirmedReads) {

  /** Returns whether anything must be made durable before messages are sent. */
  public boolean needsSync() {
    return snapshot.isPresent() || hardState.isPresent() || !entries.isEmpty();
  }

  public boolean isEmpty() {
    return !needsSync()
        && messages.isEmpty()
        && committedEntries.isEmpty()
        && confirmedReads.isEmpty();
  }
}

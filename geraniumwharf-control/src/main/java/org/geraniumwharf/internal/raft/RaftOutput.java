package org.geraniumwharf.internal.raft;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * What must be done after an input, in this order: make snapshot, hard state and entries durable,
 * tell the core, then send the messages and apply the committed entries.
 *
 * @param snapshot state that replaces everything, if one was received
 * @param hardState term and vote, if they changed
 * @param entries entries to append; the first may replace older ones at its index
 * @param messages messages to send once all of the above is durable
 * @param committedEntries entries to apply, in order
 * @param confirmedReads reads that may be answered once {@code committed} is applied
 */
public record RaftOutput(
    Optional<RaftSnapshot> snapshot,
    Optional<HardState> hardState,
    List<LogEntry> entries,
    List<OutgoingMessage> messages,
    List<LogEntry> committedEntries,
    List<ConfirmedRead> confirmedReads) {

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

package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/** Replays a log file from its start up to the last valid record. */
final class LogReplay {

  private static final HardState INITIAL_HARD_STATE = HardState.of(0, Optional.empty(), 0, false);

  private final Path file;
  private final long snapshotIndex;
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = INITIAL_HARD_STATE;
  private long offset;
  private long readBytes;
  private long syncedBytes;

  private LogReplay(Path file, long baseIndex) {
    this.file = file;
    this.snapshotIndex = baseIndex;
  }

  /**
   * Replays a file.
   *
   * @param file name of the file in error messages
   * @throws IOException if the file cannot be read
   * @throws StorageException if a record before the last append is damaged
   */
  static LogReplay of(Path file, RecordReader reader, Optional<RaftSnapshot> snapshot)
      throws StorageException, IOException {
    LogReplay replay = new LogReplay(file, snapshot.map(RaftSnapshot::index).orElse(0L));
    replay.replay(reader);
    return replay;
  }

  private void replay(RecordReader reader) throws StorageException, IOException {
    while (offset < reader.size()) {
      Optional<byte[]> record = reader.recordAt(offset);
      if (record.isEmpty()) {
        checkTornTail(reader);
        return;
      }
      readBytes += RecordFormat.HEADER_BYTES + record.get().length;
      if (LogRecord.isSynced(record.get())) {
        syncedBytes = offset;
        checkTornTail(reader);
        return;
      }
      syncedBytes = LogRecord.syncedBytes(record.get(), offset);
      apply(record.get());
      offset = readBytes;
    }
  }

  /**
   * Accepts what a loss of power leaves of the last append, of which any record may be missing or
   * torn, whichever are whole. None of it was acknowledged from here on. Rejects a log with a
   * record after the damage that was written when the place of the damage was synced already.
   */
  private void checkTornTail(RecordReader reader) throws StorageException, IOException {
    OptionalLong next = reader.nextRecordAfter(offset);
    while (next.isPresent()) {
      long position = next.getAsLong();
      byte[] record = reader.recordAt(position).orElseThrow();
      if (LogRecord.syncedBytes(record, position) > offset) {
        throw damaged();
      }
      next = reader.nextRecordAfter(position + RecordFormat.HEADER_BYTES + record.length - 1);
    }
  }

  private StorageException damaged() {
    return new StorageException(
        "the log "
            + file
            + " is damaged at byte "
            + offset
            + ", before its last record; move the data folder away and restart, the instance"
            + " is then rebuilt from the others");
  }

  private void apply(byte[] record) throws StorageException {
    try {
      if (LogRecord.isHardState(record)) {
        hardState = LogRecord.decodeHardState(record);
      } else {
        applyEntry(LogRecord.decodeEntry(record));
      }
    } catch (IOException e) {
      throw new StorageException("the log " + file + " holds an unreadable record: " + e, e);
    }
  }

  /**
   * Adds an entry, which replaces earlier entries from its index on. An entry that the snapshot
   * covers is skipped: after a crash between the snapshot and its new log, the old log still has
   * it.
   */
  private void applyEntry(LogEntry entry) throws StorageException {
    if (entry.index() <= snapshotIndex) {
      return;
    }
    int position = (int) (entry.index() - snapshotIndex - 1);
    if (position > entries.size()) {
      throw new StorageException(
          "the log " + file + " misses the entry " + (snapshotIndex + entries.size() + 1));
    }
    entries.subList(position, entries.size()).clear();
    entries.add(entry);
  }

  /**
   * Returns whether the log holds neither an entry after the snapshot nor a changed term or vote on
   * which other replicas may rely.
   */
  boolean isEmpty() {
    return entries.isEmpty()
        && hardState.term() == INITIAL_HARD_STATE.term()
        && hardState.vote().isEmpty()
        && hardState.commit() == INITIAL_HARD_STATE.commit()
        && !hardState.recovering();
  }

  HardState hardState() {
    return hardState;
  }

  List<LogEntry> entries() {
    return entries;
  }

  /** Returns the length of the file up to the end of the last hard state or entry. */
  long validBytes() {
    return offset;
  }

  /** Returns how much of the file is known to have been synced, whatever ended the process. */
  long syncedBytes() {
    return syncedBytes;
  }

  /** Returns the position from which on nothing is of use. */
  long readBytes() {
    return readBytes;
  }
}

package org.geraniumwharf.internal.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * Stores a replica in one folder: the file {@code log} with checksummed records and the file {@code
 * snapshot}. Each snapshot starts a new log file, which bounds the time of a replay. Not
 * thread-safe.
 */
public final class FileReplicaStorage implements ReplicaStorage, AutoCloseable {

  private static final int REWRITE_BYTES = 64 << 10;
  private static final String LOG_NAME = "log";
  private static final String NEW_LOG_NAME = "log.new";

  private final Path folder;
  private final Disk disk;
  private DiskFile log;

  /** Whether a loss of power leaves the folder with the name of the log that is in use. */
  private boolean isLogNameDurable = true;

  private long validBytes;
  private Optional<RaftSnapshot> latestSnapshot;

  private FileReplicaStorage(
      Path folder,
      Disk disk,
      DiskFile log,
      long validBytes,
      Optional<RaftSnapshot> latestSnapshot) {
    this.folder = folder;
    this.disk = disk;
    this.log = log;
    this.validBytes = validBytes;
    this.latestSnapshot = latestSnapshot;
  }

  /** An open storage and the state that it held when it was opened. */
  public record OpenResult(FileReplicaStorage storage, RecoveredState recovered) {}

  /**
   * Opens the storage in a folder. What a loss of power left of the last append, from its first
   * unreadable record on, is truncated.
   *
   * @throws StorageException if the files cannot be read, or if what was synced before is damaged;
   *     a damaged instance must be rebuilt from the others
   */
  public static OpenResult open(DataFolder folder) throws StorageException {
    return open(folder.path(), SystemDisk.create());
  }

  static OpenResult open(Path folder, Disk disk) throws StorageException {
    Path file = folder.resolve(LOG_NAME);
    try {
      Optional<RaftSnapshot> snapshot = SnapshotFile.read(disk, folder);
      DiskFile log = disk.open(file, false);
      RecordReader reader = RecordReader.of(log);
      LogReplay replay = LogReplay.of(file, reader, snapshot);
      log.truncate(replay.validBytes());
      rewrite(log, replay.syncedBytes(), replay.validBytes());
      log.sync();
      disk.syncFolder(folder);
      FileReplicaStorage storage =
          new FileReplicaStorage(folder, disk, log, replay.validBytes(), snapshot);
      storage.markSynced();
      RecoveredState recovered =
          new RecoveredState(
              replay.hardState(),
              snapshot,
              replay.entries(),
              snapshot.isEmpty() && replay.isEmpty(),
              reader.size() - replay.readBytes());
      return new OpenResult(storage, recovered);
    } catch (IOException e) {
      throw new StorageException("cannot open the log " + file + ": " + e, e);
    }
  }

  /**
   * Writes a part of a file as it is. A process before this one may have written it and failed to
   * sync it; the next sync need not cover what a failed one did not.
   */
  private static void rewrite(DiskFile file, long from, long to) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(REWRITE_BYTES);
    long position = from;
    while (position < to) {
      buffer.clear().limit((int) Math.min(REWRITE_BYTES, to - position));
      if (file.read(buffer, position) < 0) {
        throw new EOFException("the file became shorter while it was read");
      }
      buffer.flip();
      while (buffer.hasRemaining()) {
        position += file.write(buffer, position);
      }
    }
  }

  @Override
  public void append(Optional<HardState> hardState, List<LogEntry> entries)
      throws StorageException {
    try {
      syncLogName();
      removeFailedAppend();
      long written = writeRecords(log, validBytes, hardState, entries);
      log.syncData();
      validBytes += written;
    } catch (IOException e) {
      throw new StorageException("cannot append to the log: " + e, e);
    }
    markSynced();
  }

  /** Removes what is behind the synced part, unless it is a note that the next record covers. */
  private void removeFailedAppend() throws IOException {
    if (log.size() > validBytes + LogRecord.SYNCED_FILE_BYTES) {
      log.truncate(validBytes);
    }
  }

  /**
   * Notes behind the log that all of it is synced, so that damage is told from an append that was
   * under way when the power was lost. The next append overwrites the note. Without it the log is
   * as durable.
   */
  private void markSynced() {
    if (validBytes == 0) {
      return;
    }
    try {
      var unused = RecordFormat.write(log, validBytes, LogRecord.encodeSynced(validBytes));
    } catch (IOException e) {
      // A full or failing disk shows at the next append.
    }
  }

  @Override
  public void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained)
      throws StorageException {
    try {
      SnapshotFile.write(disk, folder, snapshot);
      latestSnapshot = Optional.of(snapshot);
      replaceLog(hardState, retained);
      syncLogName();
    } catch (IOException e) {
      throw new StorageException("cannot save a snapshot: " + e, e);
    }
  }

  /**
   * Writes a new log and moves it into place. From the move on it is the log in use, whatever fails
   * later: the file of the one before has no name any more.
   */
  private void replaceLog(HardState hardState, List<LogEntry> retained) throws IOException {
    Path path = folder.resolve(NEW_LOG_NAME);
    DiskFile newLog = disk.open(path, true);
    long written;
    try {
      written = writeRecords(newLog, 0, Optional.of(hardState), retained);
      var unused = RecordFormat.write(newLog, written, LogRecord.encodeSynced(written));
      newLog.sync();
      disk.move(path, folder.resolve(LOG_NAME));
    } catch (IOException e) {
      newLog.close();
      disk.deleteIfExists(path);
      throw e;
    }
    DiskFile replaced = log;
    log = newLog;
    validBytes = written;
    isLogNameDurable = false;
    replaced.close();
  }

  /** Must succeed before anything in the log in use counts as durable. */
  private void syncLogName() throws IOException {
    if (!isLogNameDurable) {
      disk.syncFolder(folder);
      isLogNameDurable = true;
    }
  }

  /**
   * Writes from the end of the synced part on. Encodes one record at a time, so that only one is
   * held in memory besides the entries.
   */
  private static long writeRecords(
      DiskFile file, long syncedBytes, Optional<HardState> hardState, List<LogEntry> entries)
      throws IOException {
    long written = 0;
    if (hardState.isPresent()) {
      written +=
          RecordFormat.write(
              file, syncedBytes + written, LogRecord.encode(hardState.get(), syncedBytes));
    }
    for (LogEntry entry : entries) {
      written +=
          RecordFormat.write(file, syncedBytes + written, LogRecord.encode(entry, syncedBytes));
    }
    return written;
  }

  @Override
  public Optional<RaftSnapshot> latest() {
    return latestSnapshot;
  }

  @Override
  public long usableBytes() throws StorageException {
    try {
      return disk.usableBytes(folder);
    } catch (IOException e) {
      throw new StorageException("cannot read the free space of " + folder, e);
    }
  }

  @Override
  public void close() throws StorageException {
    try {
      log.close();
    } catch (IOException e) {
      throw new StorageException("cannot close the log", e);
    }
  }
}

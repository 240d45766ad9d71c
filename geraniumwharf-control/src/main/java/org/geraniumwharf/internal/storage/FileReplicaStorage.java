package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
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

  private static final String LOG_NAME = "log";
  private static final String NEW_LOG_NAME = "log.new";

  private final DataFolder folder;
  private final FolderSync folderSync;
  private FileChannel logChannel;

  /** Whether a loss of power leaves the folder with the name of the log that is in use. */
  private boolean isLogNameDurable = true;

  private long validBytes;
  private Optional<RaftSnapshot> latestSnapshot;

  private FileReplicaStorage(
      DataFolder folder,
      FolderSync folderSync,
      FileChannel logChannel,
      long validBytes,
      Optional<RaftSnapshot> latestSnapshot) {
    this.folder = folder;
    this.folderSync = folderSync;
    this.logChannel = logChannel;
    this.validBytes = validBytes;
    this.latestSnapshot = latestSnapshot;
  }

  /** An open storage and the state that it held when it was opened. */
  public record OpenResult(FileReplicaStorage storage, RecoveredState recovered) {}

  /**
   * Opens the storage in a folder. An incomplete last record, left by a crash, is truncated.
   *
   * @throws StorageException if the files cannot be read, or if a record before the last is
   *     damaged; a damaged instance must be rebuilt from the others
   */
  public static OpenResult open(DataFolder folder) throws StorageException {
    return open(folder, DataFolder::syncFolder);
  }

  static OpenResult open(DataFolder folder, FolderSync folderSync) throws StorageException {
    Path file = folder.path().resolve(LOG_NAME);
    try {
      Optional<RaftSnapshot> snapshot = SnapshotFile.read(folder.path());
      FileChannel channel =
          FileChannel.open(
              file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
      RecordReader reader = RecordReader.of(channel);
      LogReplay replay = LogReplay.of(file, reader, snapshot);
      channel.truncate(replay.validBytes());
      channel.position(replay.validBytes());
      channel.force(true);
      folderSync.sync(folder.path());
      FileReplicaStorage storage =
          new FileReplicaStorage(folder, folderSync, channel, replay.validBytes(), snapshot);
      RecoveredState recovered =
          new RecoveredState(
              replay.hardState(),
              snapshot,
              replay.entries(),
              snapshot.isEmpty() && replay.isEmpty(),
              reader.size() - replay.validBytes());
      return new OpenResult(storage, recovered);
    } catch (IOException e) {
      throw new StorageException("cannot open the log " + file + ": " + e, e);
    }
  }

  @Override
  public void append(Optional<HardState> hardState, List<LogEntry> entries)
      throws StorageException {
    try {
      syncLogName();
      logChannel.truncate(validBytes);
      logChannel.position(validBytes);
      long written = writeRecords(logChannel, hardState, entries);
      logChannel.force(false);
      validBytes += written;
    } catch (IOException e) {
      throw new StorageException("cannot append to the log: " + e, e);
    }
  }

  @Override
  public void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained)
      throws StorageException {
    try {
      SnapshotFile.write(folder.path(), snapshot, folderSync);
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
    Path newLog = folder.path().resolve(NEW_LOG_NAME);
    FileChannel channel =
        FileChannel.open(
            newLog,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    long written;
    try {
      written = writeRecords(channel, Optional.of(hardState), retained);
      channel.force(true);
      Files.move(
          newLog,
          folder.path().resolve(LOG_NAME),
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      channel.close();
      Files.deleteIfExists(newLog);
      throw e;
    }
    FileChannel replaced = logChannel;
    logChannel = channel;
    validBytes = written;
    isLogNameDurable = false;
    replaced.close();
  }

  /** Must succeed before anything in the log in use counts as durable. */
  private void syncLogName() throws IOException {
    if (!isLogNameDurable) {
      folderSync.sync(folder.path());
      isLogNameDurable = true;
    }
  }

  /** Encodes one record at a time, so that only one is held in memory besides the entries. */
  private static long writeRecords(
      FileChannel channel, Optional<HardState> hardState, List<LogEntry> entries)
      throws IOException {
    long written = 0;
    if (hardState.isPresent()) {
      written += RecordFormat.write(channel, LogRecord.encode(hardState.get()));
    }
    for (LogEntry entry : entries) {
      written += RecordFormat.write(channel, LogRecord.encode(entry));
    }
    return written;
  }

  @Override
  public Optional<RaftSnapshot> latest() {
    return latestSnapshot;
  }

  @Override
  public long usableBytes() throws StorageException {
    return folder.usableBytes();
  }

  @Override
  public void close() throws StorageException {
    try {
      logChannel.close();
    } catch (IOException e) {
      throw new StorageException("cannot close the log", e);
    }
  }
}

package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.StateSnapshot;

/**
 * The snapshot file. It is written under a temporary name, synced and renamed, so that a crash
 * never leaves an incomplete snapshot.
 */
final class SnapshotFile {

  private static final String NAME = "snapshot";
  private static final String TEMPORARY_NAME = "snapshot.new";

  private SnapshotFile() {}

  /** Returns the snapshot; empty if the folder has none. */
  static Optional<RaftSnapshot> read(Disk disk, Path folder) throws StorageException {
    Path file = folder.resolve(NAME);
    try {
      return disk.exists(file) ? Optional.of(decode(disk, file)) : Optional.empty();
    } catch (IOException e) {
      throw new StorageException("cannot read the snapshot " + file + ": " + e, e);
    }
  }

  private static RaftSnapshot decode(Disk disk, Path path) throws StorageException, IOException {
    try (DiskFile file = disk.open(path, false)) {
      byte[] body =
          RecordReader.of(file)
              .recordAt(0)
              .orElseThrow(() -> new StorageException("the snapshot is damaged: " + path));
      StateSnapshot state = Codec.messagePack().decode(body, StateSnapshot.class);
      return RaftSnapshot.of(state.index(), state.term(), state.membership(), body);
    }
  }

  /**
   * Makes a snapshot durable in place of the one before.
   *
   * @throws IOException if that failed; the folder holds one of the two
   */
  static void write(Disk disk, Path folder, RaftSnapshot snapshot) throws IOException {
    Path temporary = folder.resolve(TEMPORARY_NAME);
    try {
      writeTemporary(disk, temporary, snapshot);
      disk.move(temporary, folder.resolve(NAME));
    } catch (IOException e) {
      disk.deleteIfExists(temporary);
      throw e;
    }
    disk.syncFolder(folder);
  }

  private static void writeTemporary(Disk disk, Path temporary, RaftSnapshot snapshot)
      throws IOException {
    try (DiskFile file = disk.open(temporary, true)) {
      var unused = RecordFormat.write(file, 0, snapshot.data());
      file.sync();
    }
  }
}

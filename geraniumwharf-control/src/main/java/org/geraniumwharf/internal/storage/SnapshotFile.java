package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
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
  static Optional<RaftSnapshot> read(Path folder) throws StorageException {
    Path file = folder.resolve(NAME);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      byte[] body =
          RecordReader.of(channel)
              .recordAt(0)
              .orElseThrow(() -> new StorageException("the snapshot is damaged: " + file));
      StateSnapshot state = Codec.messagePack().decode(body, StateSnapshot.class);
      return Optional.of(RaftSnapshot.of(state.index(), state.term(), state.membership(), body));
    } catch (IOException e) {
      throw new StorageException("cannot read the snapshot " + file + ": " + e, e);
    }
  }

  /**
   * Makes a snapshot durable in place of the one before.
   *
   * @throws IOException if that failed; the folder holds one of the two
   */
  static void write(Path folder, RaftSnapshot snapshot, FolderSync folderSync) throws IOException {
    Path temporary = folder.resolve(TEMPORARY_NAME);
    try {
      writeTemporary(temporary, snapshot);
      Files.move(
          temporary,
          folder.resolve(NAME),
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      Files.deleteIfExists(temporary);
      throw e;
    }
    folderSync.sync(folder);
  }

  private static void writeTemporary(Path temporary, RaftSnapshot snapshot) throws IOException {
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      var unused = RecordFormat.write(channel, snapshot.data());
      channel.force(true);
    }
  }
}

package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A data folder that is locked for this process. The operating system releases the lock when the
 * process ends.
 */
public final class DataFolder implements AutoCloseable {

  private final Path path;
  private final FileChannel lockChannel;

  private DataFolder(Path path, FileChannel lockFile) {
    this.path = path;
    this.lockChannel = lockFile;
  }

  /**
   * Creates the folder if needed and locks it.
   *
   * @throws StorageException if the folder is locked already or cannot be created
   */
  public static DataFolder open(Path path) throws StorageException {
    try {
      Files.createDirectories(path);
      FileChannel channel =
          FileChannel.open(
              path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      if (tryLock(channel) == null) {
        channel.close();
        throw new StorageException("another daemon uses the data folder " + path);
      }
      return new DataFolder(path, channel);
    } catch (IOException e) {
      throw new StorageException("cannot open the data folder " + path + ": " + e, e);
    }
  }

  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  public Path path() {
    return path;
  }

  /**
   * Returns the free space of the file system, in bytes.
   *
   * @throws StorageException if the file system cannot be queried
   */
  public long usableBytes() throws StorageException {
    try {
      return Files.getFileStore(path).getUsableSpace();
    } catch (IOException e) {
      throw new StorageException("cannot read the free space of " + path, e);
    }
  }

  @Override
  public void close() throws StorageException {
    try {
      lockChannel.close();
    } catch (IOException e) {
      throw new StorageException("cannot release the data folder " + path, e);
    }
  }

  /** Syncs a folder, which makes created, renamed and deleted files in it durable. */
  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}

package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Exclusive use of one folder; the lock goes with the process. */
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
   * @throws StorageException if another process uses it or it cannot be created
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

  /** Returns the bytes that may still be written. */
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

  /** Makes the creation, renaming or deletion of files in a folder durable. */
  static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}

package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The disk of the operating system. */
final class SystemDisk implements Disk {

  private final FolderSync folderSync;

  private SystemDisk(FolderSync folderSync) {
    this.folderSync = folderSync;
  }

  static Disk create() {
    return new SystemDisk(DataFolder::syncFolder);
  }

  static Disk syncingFoldersBy(FolderSync folderSync) {
    return new SystemDisk(folderSync);
  }

  @Override
  public DiskFile open(Path path, boolean isEmptied) throws IOException {
    FileChannel channel =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    if (isEmptied) {
      channel.truncate(0);
    }
    return new ChannelFile(channel);
  }

  @Override
  public boolean exists(Path path) {
    return Files.exists(path);
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void deleteIfExists(Path path) throws IOException {
    Files.deleteIfExists(path);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    folderSync.sync(folder);
  }

  @Override
  public long usableBytes(Path folder) throws IOException {
    return Files.getFileStore(folder).getUsableSpace();
  }

  private record ChannelFile(FileChannel channel) implements DiskFile {

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public int read(ByteBuffer target, long position) throws IOException {
      return channel.read(target, position);
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
      return channel.write(source, position);
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      channel.force(true);
    }

    @Override
    public void syncData() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}

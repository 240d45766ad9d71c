package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A disk in memory that keeps, after a loss of power, what the platform promises: what a sync
 * covered, and of each later write all, nothing or a torn part, in which older bytes show. A new
 * file is durable with its own sync, other changes of names with the sync of their folder.
 *
 * <p>The writes that a failed sync should have covered are covered by no later one, as with an
 * operating system that drops them from its cache; they must be repeated.
 */
public final class FaultyDisk implements Disk {

  private final RandomGenerator random;
  private final List<NameChange> unsyncedNames = new ArrayList<>();
  private Map<Path, Content> names = new HashMap<>();
  private Map<Path, Content> durableNames = new HashMap<>();
  private DiskFault fault = DiskFault.NONE;
  private int operationsToPowerLoss = Integer.MAX_VALUE;

  private FaultyDisk(RandomGenerator random) {
    this.random = random;
  }

  public static FaultyDisk create(RandomGenerator random) {
    return new FaultyDisk(random);
  }

  /** Opens the storage of a replica on this disk. */
  public FileReplicaStorage.OpenResult openStorage() throws StorageException {
    return FileReplicaStorage.open(Path.of("folder"), this);
  }

  /** Every operation that the fault concerns fails from now on. */
  public void fail(DiskFault newFault) {
    fault = newFault;
  }

  public DiskFault fault() {
    return fault;
  }

  /** The power is lost in the middle of a later operation. */
  public void losePowerAfter(int operations) {
    operationsToPowerLoss = operations;
  }

  /** Loses the power now; whatever was opened before must not be used any more. */
  public void losePower() {
    operationsToPowerLoss = Integer.MAX_VALUE;
    boolean isEverythingGone = random.nextInt(4) == 0;
    losePower(isEverythingGone ? write -> Kept.NOTHING : write -> randomlyKept());
  }

  /** Loses the power with a given part of each write after the last sync. */
  void losePower(KeptPart kept) {
    int keptNames = random.nextInt(unsyncedNames.size() + 1);
    unsyncedNames.subList(0, keptNames).forEach(change -> change.apply(durableNames));
    unsyncedNames.clear();
    names = new HashMap<>(durableNames);
    names.values().forEach(content -> content.losePower(kept));
  }

  /** Changes a byte of the log that was synced. */
  void damage(int position) {
    names.get(Path.of("folder", "log")).bytes[position] ^= 1;
  }

  int unsyncedWrites() {
    return names.values().stream().mapToInt(content -> content.unsynced.size()).sum();
  }

  /** Removes everything. */
  public void wipe() {
    names = new HashMap<>();
    durableNames = new HashMap<>();
    unsyncedNames.clear();
  }

  private Kept randomlyKept() {
    return Kept.values()[random.nextInt(Kept.values().length)];
  }

  @Override
  public DiskFile open(Path path, boolean isEmptied) throws IOException {
    checkPower();
    Content content = names.get(path);
    if (content == null) {
      failIf(DiskFault.FULL);
      content = new Content(path);
      names.put(path, content);
    }
    if (isEmptied) {
      content.truncate(0);
    }
    return content;
  }

  @Override
  public boolean exists(Path path) {
    return names.containsKey(path);
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    checkPower();
    failIf(DiskFault.RENAME_FAILS);
    change(new NameChange(from, to, names.get(from)));
  }

  @Override
  public void deleteIfExists(Path path) throws IOException {
    checkPower();
    if (exists(path)) {
      change(new NameChange(path, null, names.get(path)));
    }
  }

  private void change(NameChange change) {
    change.apply(names);
    unsyncedNames.add(change);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    checkPower();
    failIf(DiskFault.FOLDER_SYNC_FAILS);
    unsyncedNames.forEach(change -> change.apply(durableNames));
    unsyncedNames.clear();
  }

  @Override
  public long usableBytes(Path folder) {
    return fault == DiskFault.FULL ? 0 : Long.MAX_VALUE;
  }

  private void checkPower() {
    if (operationsToPowerLoss != Integer.MAX_VALUE && operationsToPowerLoss-- == 0) {
      throw new PowerLostException();
    }
  }

  private void failIf(DiskFault one) throws IOException {
    if (fault == one) {
      throw new IOException("injected " + one);
    }
  }

  /** What a loss of power leaves of a write. */
  enum Kept {
    ALL,
    NOTHING,
    FIRST_PART,
    LAST_PART
  }

  /** Decides what a loss of power leaves of a write. */
  interface KeptPart {
    Kept of(Write write);
  }

  /** A change of the name of a content; the file is deleted if the new name is null. */
  private record NameChange(Path from, Path to, Content content) {

    void apply(Map<Path, Content> changed) {
      changed.remove(from, content);
      if (to != null) {
        changed.put(to, content);
      }
    }
  }

  /** A write since the last sync, or a new length if it has no bytes. */
  static final class Write {

    private final long position;
    private final byte[] bytes;

    private Write(long position, byte[] bytes) {
      this.position = position;
      this.bytes = bytes;
    }

    boolean isNewLength() {
      return bytes.length == 0;
    }

    byte[] apply(byte[] content, Kept kept, int cut) {
      if (kept == Kept.NOTHING) {
        return content;
      }
      if (isNewLength()) {
        return Arrays.copyOf(content, (int) position);
      }
      int from = kept == Kept.LAST_PART ? cut : 0;
      int to = kept == Kept.FIRST_PART ? cut : bytes.length;
      byte[] changed = Arrays.copyOf(content, Math.max(content.length, (int) position + to));
      System.arraycopy(bytes, from, changed, (int) position + from, to - from);
      return changed;
    }
  }

  private final class Content implements DiskFile {

    private final Path firstName;
    private final List<Write> unsynced = new ArrayList<>();
    private byte[] bytes = new byte[0];
    private byte[] durable = new byte[0];
    private boolean isNew = true;

    /** Number of the unsynced writes that no later sync covers. */
    private int dropped;

    Content(Path firstName) {
      this.firstName = firstName;
    }

    void losePower(KeptPart kept) {
      for (Write write : unsynced) {
        durable = write.apply(durable, kept.of(write), cut(write));
      }
      unsynced.clear();
      dropped = 0;
      bytes = durable;
    }

    private int cut(Write write) {
      return write.isNewLength() ? 0 : random.nextInt(write.bytes.length);
    }

    private void perform(Write write) {
      bytes = write.apply(bytes, Kept.ALL, 0);
      unsynced.add(write);
    }

    @Override
    public long size() {
      return bytes.length;
    }

    @Override
    public int read(ByteBuffer target, long position) {
      int count = (int) Math.min(target.remaining(), bytes.length - position);
      if (count <= 0) {
        return -1;
      }
      target.put(bytes, (int) position, count);
      return count;
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
      checkPower();
      failIf(DiskFault.WRITE_FAILS);
      failIf(DiskFault.FULL);
      boolean isPartial = fault == DiskFault.PARTLY_WRITTEN;
      byte[] written = new byte[isPartial ? source.remaining() / 2 : source.remaining()];
      source.get(written);
      perform(new Write(position, written));
      failIf(DiskFault.PARTLY_WRITTEN);
      return written.length;
    }

    @Override
    public void truncate(long size) throws IOException {
      checkPower();
      if (size < bytes.length) {
        perform(new Write(size, new byte[0]));
      }
    }

    @Override
    public void sync() throws IOException {
      checkPower();
      if (fault == DiskFault.SYNC_FAILS) {
        dropped = unsynced.size();
      }
      failIf(DiskFault.SYNC_FAILS);
      for (int i = 0; i < unsynced.size(); i++) {
        Write write = unsynced.get(i);
        durable = write.apply(durable, i < dropped ? randomlyKept() : Kept.ALL, cut(write));
      }
      unsynced.clear();
      dropped = 0;
      if (isNew) {
        durableNames.put(firstName, this);
        isNew = false;
      }
    }

    @Override
    public void syncData() throws IOException {
      sync();
    }

    @Override
    public void close() {}
  }
}

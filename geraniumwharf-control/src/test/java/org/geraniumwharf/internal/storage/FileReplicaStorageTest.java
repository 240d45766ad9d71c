package org.geraniumwharf.internal.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileReplicaStorageTest {

  private static final HardState TERM_2 = HardState.of(2, Optional.of("c-1"), 0, false);
  private static final Membership MEMBERS = Membership.of(List.of("c-1"), List.of());

  /** Number of the folder's sync behind the new log: after the opening and the snapshot. */
  private static final int LOG_NAME_SYNC = 3;

  @TempDir private Path folder;

  @Test
  void should_recover_the_appended_entries_and_hard_state() throws StorageException {
    write(storage -> storage.append(Optional.of(TERM_2), entries(1, 5, 1)));

    RecoveredState recovered = reopen();

    assertEquals(TERM_2, recovered.hardState());
    assertEquals(5, recovered.entries().size());
  }

  @Test
  void should_replace_entries_from_an_index_on() throws StorageException {
    write(
        storage -> {
          storage.append(Optional.empty(), entries(1, 5, 1));
          storage.append(Optional.empty(), entries(3, 3, 2));
        });

    List<Long> terms = reopen().entries().stream().map(LogEntry::term).toList();

    assertEquals(List.of(1L, 1L, 2L), terms);
  }

  @Test
  void should_truncate_a_torn_last_record_of_any_length() throws StorageException, IOException {
    write(storage -> storage.append(Optional.of(TERM_2), entries(1, 3, 1)));
    byte[] bytes = Files.readAllBytes(log());
    byte[] whole = Arrays.copyOf(bytes, bytes.length - LogRecord.SYNCED_FILE_BYTES);
    int lastRecord = RecordFormat.encode(LogRecord.encode(entries(3, 3, 1).get(0), 0)).limit();
    for (int cut = 1; cut < lastRecord; cut++) {
      Files.write(log(), Arrays.copyOf(whole, whole.length - cut));

      assertEquals(2, reopen().entries().size(), "cut of " + cut + " bytes");
    }
  }

  @Test
  void should_reject_a_log_damaged_before_its_last_record() throws StorageException, IOException {
    write(storage -> storage.append(Optional.of(TERM_2), entries(1, 20, 1)));
    byte[] bytes = Files.readAllBytes(log());
    bytes[bytes.length / 2] ^= 1;
    Files.write(log(), bytes);

    StorageException error = assertThrows(StorageException.class, this::reopen);

    assertTrue(error.getMessage().contains("is damaged at byte"), error.getMessage());
    assertTrue(error.getMessage().contains("rebuilt from the others"), error.getMessage());
  }

  @Test
  void should_start_from_a_snapshot_and_the_entries_after_it() throws StorageException {
    write(
        storage -> {
          storage.append(Optional.of(TERM_2), entries(1, 6, 1));
          storage.saveSnapshot(snapshot(4), TERM_2, entries(5, 6, 1));
          storage.append(Optional.empty(), entries(7, 7, 1));
        });

    RecoveredState recovered = reopen();

    assertEquals(4, recovered.snapshot().orElseThrow().index());
    assertEquals(TERM_2, recovered.hardState());
    assertEquals(List.of(5L, 6L, 7L), recovered.entries().stream().map(LogEntry::index).toList());
  }

  @Test
  void should_survive_a_crash_between_the_snapshot_and_its_log()
      throws StorageException, IOException {
    write(storage -> storage.append(Optional.of(TERM_2), entries(1, 6, 1)));
    SnapshotFile.write(SystemDisk.create(), folder, snapshot(4));

    List<Long> indexes = reopen().entries().stream().map(LogEntry::index).toList();

    assertEquals(List.of(5L, 6L), indexes);
  }

  /**
   * Guards against entries that are acknowledged into a file without a name: the new log was moved
   * into place, but the sync of the folder failed on a faulty disk.
   */
  @Test
  void should_keep_what_is_appended_after_a_new_log_was_moved_and_its_name_not_synced()
      throws StorageException {
    AtomicInteger syncs = new AtomicInteger();
    try (DataFolder data = DataFolder.open(folder)) {
      FileReplicaStorage storage =
          FileReplicaStorage.open(
                  data.path(), SystemDisk.syncingFoldersBy(path -> failAt(LOG_NAME_SYNC, syncs)))
              .storage();
      storage.append(Optional.of(TERM_2), entries(1, 6, 1));

      assertThrows(
          StorageException.class,
          () -> storage.saveSnapshot(snapshot(4), TERM_2, entries(5, 6, 1)));
      storage.append(Optional.empty(), entries(7, 7, 1));
      storage.close();
    }

    RecoveredState recovered = reopen();

    assertEquals(List.of(5L, 6L, 7L), recovered.entries().stream().map(LogEntry::index).toList());
    assertEquals(TERM_2, recovered.hardState());
    assertEquals(LOG_NAME_SYNC + 1, syncs.get(), "the name was not synced before the append");
  }

  private static void failAt(int number, AtomicInteger syncs) throws IOException {
    if (syncs.incrementAndGet() == number) {
      throw new IOException("input/output error");
    }
  }

  /** Guards against files of failed attempts that take the room of the disk. */
  @Test
  void should_leave_no_file_of_a_snapshot_that_could_not_be_saved()
      throws StorageException, IOException {
    try (DataFolder data = DataFolder.open(folder);
        FileReplicaStorage storage = FileReplicaStorage.open(data).storage()) {
      Files.createDirectories(folder.resolve("snapshot").resolve("no file"));
      storage.append(Optional.of(TERM_2), entries(1, 6, 1));
      assertThrows(
          StorageException.class,
          () -> storage.saveSnapshot(snapshot(4), TERM_2, entries(5, 6, 1)));
      storage.append(Optional.empty(), entries(7, 7, 1));
    }
    Files.delete(folder.resolve("snapshot").resolve("no file"));
    Files.delete(folder.resolve("snapshot"));

    assertEquals(7, reopen().entries().size());
    assertEquals(false, Files.exists(folder.resolve("snapshot.new")));
  }

  private static RaftSnapshot snapshot(long index) {
    ControlState state = ControlState.empty();
    state.skipEntry(index);
    return RaftSnapshot.of(
        index, 1, MEMBERS, Codec.messagePack().encode(state.snapshot(1, MEMBERS)));
  }

  @Test
  void should_reject_a_second_lock_on_the_data_folder() throws StorageException {
    try (DataFolder first = DataFolder.open(folder)) {
      StorageException error =
          assertThrows(StorageException.class, () -> DataFolder.open(first.path()));

      assertTrue(error.getMessage().contains("another daemon uses"), error.getMessage());
    }
  }

  @Test
  void should_count_as_new_until_something_is_written() throws StorageException {
    boolean isNewAtFirst = reopen().isNew();
    boolean isNewAfterOpening = reopen().isNew();
    write(storage -> storage.append(Optional.of(TERM_2), List.of()));

    assertTrue(isNewAtFirst);
    assertTrue(isNewAfterOpening);
    assertEquals(false, reopen().isNew());
  }

  /** Guards against a replica that cannot start because it reads its log into memory as a whole. */
  @Test
  void should_read_a_log_that_is_larger_than_the_memory()
      throws StorageException, IOException, InterruptedException {
    LogEntry large = LogEntry.of(1, 1, EntryKind.BARRIER, new byte[512 << 10]);
    write(
        storage -> {
          for (int i = 0; i < 64; i++) {
            storage.append(Optional.empty(), List.of(large));
          }
        });

    Process child =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx16m",
                "-cp",
                System.getProperty("java.class.path"),
                OpenedByProcess.class.getName(),
                folder.toString())
            .redirectErrorStream(true)
            .start();

    String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals("entries 1", output.strip());
    assertEquals(0, child.waitFor());
  }

  /** Opens a folder in a process of its own. */
  static final class OpenedByProcess {

    public static void main(String[] args) throws StorageException {
      try (DataFolder data = DataFolder.open(Path.of(args[0]))) {
        FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(data);
        System.out.println("entries " + opened.recovered().entries().size());
      }
    }
  }

  private interface StorageAction {
    void run(ReplicaStorage storage) throws StorageException;
  }

  private void write(StorageAction action) throws StorageException {
    try (DataFolder data = DataFolder.open(folder);
        FileReplicaStorage storage = FileReplicaStorage.open(data).storage()) {
      action.run(storage);
    }
  }

  private RecoveredState reopen() throws StorageException {
    try (DataFolder data = DataFolder.open(folder)) {
      FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(data);
      opened.storage().close();
      return opened.recovered();
    }
  }

  private Path log() {
    return folder.resolve("log");
  }

  private static List<LogEntry> entries(long from, long to, long term) {
    return LongStream.rangeClosed(from, to)
        .mapToObj(index -> LogEntry.of(index, term, EntryKind.BARRIER, new byte[10]))
        .toList();
  }
}

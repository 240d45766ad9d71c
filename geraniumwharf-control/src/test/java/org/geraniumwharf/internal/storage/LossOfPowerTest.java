package org.geraniumwharf.internal.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.internal.storage.FaultyDisk.Kept;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.Test;

class LossOfPowerTest {

  private static final byte[] PAYLOAD = "x".repeat(40).getBytes(StandardCharsets.UTF_8);
  private static final HardState TERM_2 = HardState.of(2, Optional.of("c-1"), 0, false);

  private static final int RECORD_BYTES =
      RecordFormat.encode(LogRecord.encode(entries(1, 1).get(0), 0)).limit();

  private final FaultyDisk disk = FaultyDisk.create(new SplittableRandom(1));
  private int writes;
  private int writesBeforeLastAppend;

  /** Guards against a replica that can't start, for good, after a loss of power. */
  @Test
  void should_start_after_one_record_of_the_last_append_was_torn_and_a_later_one_was_not()
      throws StorageException {
    for (Kept kept : List.of(Kept.NOTHING, Kept.FIRST_PART, Kept.LAST_PART)) {
      FileReplicaStorage storage = wiped();
      storage.append(Optional.of(TERM_2), entries(1, 3));
      appendWithoutSync(storage, entries(4, 8));

      losePowerAtSecondRecord(kept);
      RecoveredState recovered = disk.openStorage().recovered();

      assertEquals(4, recovered.entries().size(), "kept " + kept);
      assertEquals(TERM_2, recovered.hardState());
      assertTrue(recovered.cutBytes() > 0);
    }
  }

  /** Guards against entries that were acknowledged and are discarded as an unfinished append. */
  @Test
  void should_refuse_a_log_that_is_damaged_in_a_synced_append() throws StorageException {
    for (int record = 0; record < 9; record++) {
      FileReplicaStorage storage = wiped();
      storage.append(Optional.of(TERM_2), entries(1, 3));
      storage.append(Optional.empty(), entries(4, 8));
      disk.damage(RECORD_BYTES / 2 + record * RECORD_BYTES * 9 / 10);

      StorageException error = assertThrows(StorageException.class, disk::openStorage);

      assertTrue(error.getMessage().contains("is damaged at byte"), error.getMessage());
    }
  }

  /** The same when the power was lost in the append after it. */
  @Test
  void should_refuse_a_log_that_is_damaged_before_the_append_under_way() throws StorageException {
    FileReplicaStorage storage = wiped();
    storage.append(Optional.of(TERM_2), entries(1, 3));
    storage.append(Optional.empty(), entries(4, 8));
    appendWithoutSync(storage, entries(9, 12));
    disk.losePower(write -> Kept.ALL);
    disk.damage(6 * RECORD_BYTES);

    StorageException error = assertThrows(StorageException.class, disk::openStorage);

    assertTrue(error.getMessage().contains("is damaged at byte"), error.getMessage());
  }

  /** Damage in a new log that no append has followed. */
  @Test
  void should_refuse_a_new_log_that_is_damaged() throws StorageException {
    FileReplicaStorage storage = wiped();
    storage.append(Optional.of(TERM_2), entries(1, 3));
    storage.saveSnapshot(snapshot(1), TERM_2, entries(2, 3));
    disk.losePower(write -> Kept.NOTHING);
    disk.damage(RECORD_BYTES);

    StorageException error = assertThrows(StorageException.class, disk::openStorage);

    assertTrue(error.getMessage().contains("is damaged at byte"), error.getMessage());
  }

  /** What is left of an append must not return behind a later one. */
  @Test
  void should_keep_what_is_appended_after_a_loss_of_power() throws StorageException {
    FileReplicaStorage storage = wiped();
    storage.append(Optional.of(TERM_2), entries(1, 3));
    appendWithoutSync(storage, entries(4, 8));
    losePowerAtSecondRecord(Kept.NOTHING);
    disk.openStorage().storage().append(Optional.empty(), entries(5, 6));
    disk.losePower(write -> Kept.NOTHING);

    RecoveredState recovered = disk.openStorage().recovered();

    assertEquals(6, recovered.entries().size());
  }

  /** Guards against a start that trusts what a failed sync left in the cache of the system. */
  @Test
  void should_make_durable_at_a_start_what_a_failed_sync_before_it_did_not()
      throws StorageException {
    FileReplicaStorage storage = wiped();
    storage.append(Optional.of(TERM_2), entries(1, 3));
    appendWithoutSync(storage, entries(4, 8));

    FileReplicaStorage.OpenResult started = disk.openStorage();
    started.storage().append(Optional.empty(), entries(9, 10));
    disk.losePower(write -> Kept.NOTHING);

    assertEquals(8, started.recovered().entries().size());
    assertEquals(10, disk.openStorage().recovered().entries().size());
  }

  /** A log of former versions, whose records don't tell what was synced before them. */
  @Test
  void should_read_the_log_of_a_former_version() throws StorageException, IOException {
    disk.wipe();
    try (DiskFile log = disk.open(Path.of("folder", "log"), false)) {
      long size = 0;
      for (LogEntry entry : entries(1, 3)) {
        byte[] body = Codec.messagePack().encode(entry);
        byte[] record = ByteBuffer.allocate(body.length + 1).put((byte) 2).put(body).array();
        size += RecordFormat.write(log, size, record);
      }
      log.sync();
    }

    disk.openStorage().storage().append(Optional.of(TERM_2), entries(4, 5));
    RecoveredState recovered = disk.openStorage().recovered();
    disk.damage(10);

    assertEquals(5, recovered.entries().size());
    assertEquals(TERM_2, recovered.hardState());
    assertThrows(StorageException.class, disk::openStorage);
  }

  private FileReplicaStorage wiped() throws StorageException {
    disk.wipe();
    return disk.openStorage().storage();
  }

  private static RaftSnapshot snapshot(long index) {
    Membership members = Membership.of(List.of("c-1"), List.of());
    ControlState state = ControlState.empty();
    state.skipEntry(index);
    return RaftSnapshot.of(
        index, 1, members, Codec.messagePack().encode(state.snapshot(1, members)));
  }

  private void losePowerAtSecondRecord(Kept kept) {
    writes = 0;
    disk.losePower(write -> writes++ == writesBeforeLastAppend + 1 ? kept : Kept.ALL);
  }

  private void appendWithoutSync(FileReplicaStorage storage, List<LogEntry> entries) {
    writesBeforeLastAppend = disk.unsyncedWrites();
    disk.fail(DiskFault.SYNC_FAILS);
    assertThrows(StorageException.class, () -> storage.append(Optional.empty(), entries));
    disk.fail(DiskFault.NONE);
  }

  private static List<LogEntry> entries(long from, long to) {
    return LongStream.rangeClosed(from, to)
        .mapToObj(index -> LogEntry.of(index, 1, EntryKind.BARRIER, PAYLOAD))
        .toList();
  }
}

package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.geraniumwharf.internal.storage.DiskFault;
import org.geraniumwharf.internal.storage.FaultyDisk;
import org.geraniumwharf.internal.storage.FileReplicaStorage;
import org.geraniumwharf.internal.storage.PowerLostException;
import org.geraniumwharf.internal.storage.RecoveredState;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/** The storage of the product on a disk with faults. */
final class FaultyReplicaDisk implements ReplicaDisk {

  private static final int MAX_OPERATIONS_TO_POWER_LOSS = 40;
  private static final int MAX_DELAY_MILLIS = 600;

  private final FaultyDisk disk;
  private final RandomGenerator random;
  private Optional<FileReplicaStorage> storage = Optional.empty();
  private Optional<RecoveredState> recovered = Optional.empty();

  /** Whether the next start on an empty folder is that of a replica that lost its disk. */
  private boolean isLost;

  private FaultyReplicaDisk(FaultyDisk disk, RandomGenerator random) {
    this.disk = disk;
    this.random = random;
  }

  static FaultyReplicaDisk create(SplittableRandom random) {
    return new FaultyReplicaDisk(FaultyDisk.create(random.split()), random);
  }

  /** Sets the fault, or ends it if there is one. */
  void toggle(DiskFault fault) {
    disk.fail(disk.fault() == DiskFault.NONE ? fault : DiskFault.NONE);
  }

  void losePowerSoon() {
    disk.losePowerAfter(random.nextInt(MAX_OPERATIONS_TO_POWER_LOSS));
  }

  void losePower() {
    disk.losePower();
  }

  /** The process ends alone, or with the power. */
  @Override
  public void crash() {
    if (random.nextBoolean()) {
      disk.losePower();
    }
  }

  @Override
  public void clearFaults() {
    disk.fail(DiskFault.NONE);
    disk.losePowerAfter(Integer.MAX_VALUE);
  }

  @Override
  public Duration nextDelay() {
    return disk.fault() == DiskFault.SLOW
        ? Duration.ofMillis(random.nextInt(MAX_DELAY_MILLIS))
        : Duration.ZERO;
  }

  @Override
  public void open() throws StorageException {
    FileReplicaStorage.OpenResult opened = disk.openStorage();
    if (isLost && opened.recovered().isNew()) {
      HardState recovering = opened.recovered().hardState().withRecovering(true);
      opened.storage().append(Optional.of(recovering), List.of());
      opened = disk.openStorage();
    }
    isLost = false;
    storage = Optional.of(opened.storage());
    recovered = Optional.of(opened.recovered());
  }

  @Override
  public void write(RaftOutput output, HardState hardState) throws StorageException {
    if (output.snapshot().isPresent()) {
      storage.orElseThrow().saveSnapshot(output.snapshot().get(), hardState, output.entries());
    } else {
      storage.orElseThrow().append(output.hardState(), output.entries());
    }
  }

  /** Loses the power in the middle of the write, or right after it. */
  @Override
  public void writePartially(RaftOutput output, HardState hardState, int parts) {
    disk.losePowerAfter(parts);
    try {
      write(output, hardState);
    } catch (StorageException | PowerLostException e) {
      // The same loss of power follows.
    }
    disk.losePower();
  }

  @Override
  public void saveSnapshot(RaftSnapshot newer, HardState hardState, List<LogEntry> retained)
      throws StorageException {
    storage.orElseThrow().saveSnapshot(newer, hardState, retained);
  }

  @Override
  public void wipe() {
    disk.wipe();
    isLost = true;
  }

  @Override
  public RaftInitialState initialState(
      String self,
      RaftTiming timing,
      Membership initial,
      RandomGenerator random,
      MembershipPolicy members) {
    RecoveredState state = recovered.orElseThrow();
    return new RaftInitialState(
        "main",
        self,
        timing,
        state.hardState(),
        state.snapshot().map(RaftSnapshot::index).orElse(0L),
        state.snapshot().map(RaftSnapshot::term).orElse(0L),
        state.snapshot().map(RaftSnapshot::membership).orElse(initial),
        state.entries(),
        this,
        random,
        members);
  }

  @Override
  public Optional<RaftSnapshot> latest() {
    return storage.orElseThrow().latest();
  }
}

package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/** Durable state of one simulated replica. */
interface ReplicaDisk extends SnapshotSource {

  /** Reads what is durable, at each start of the replica. */
  void open() throws StorageException;

  void write(RaftOutput output, HardState hardState) throws StorageException;

  /**
   * Performs the part of a write that precedes a crash: nothing if {@code parts} is 0, else the
   * hard state and the first {@code parts - 1} entries. Nothing is written of an output with a
   * snapshot.
   */
  void writePartially(RaftOutput output, HardState hardState, int parts);

  void saveSnapshot(RaftSnapshot newer, HardState hardState, List<LogEntry> retained)
      throws StorageException;

  /** The process that uses the disk has ended. */
  void crash();

  /** Ends all faults. */
  void clearFaults();

  /** Returns how long the next write takes. */
  Duration nextDelay();

  /** Loses everything. */
  void wipe();

  RaftInitialState initialState(
      String self,
      RaftTiming timing,
      Membership initial,
      RandomGenerator random,
      MembershipPolicy members);
}

package org.geraniumwharf.internal.raft;

import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/**
 * What a replica starts from.
 *
 * @param group replication group
 * @param self name of the replica
 * @param hardState durable term and vote
 * @param baseIndex index of the last entry that the durable snapshot covers; 0 without one
 * @param snapshotTerm term of that entry
 * @param membership members at {@code baseIndex}
 * @param entries durable entries after {@code baseIndex}
 * @param snapshotSource source of snapshots for replicas that are too far behind
 * @param random source of election timeouts
 * @param membershipPolicy how the group is kept
 */
public record RaftInitialState(
    String group,
    String self,
    RaftTiming timing,
    HardState hardState,
    long snapshotIndex,
    long snapshotTerm,
    Membership membership,
    List<LogEntry> entries,
    SnapshotSource snapshotSource,
    RandomGenerator random,
    MembershipPolicy membershipPolicy) {

  public RaftInitialState {
    entries = List.copyOf(entries);
  }

  /** A replica of a group whose members operators change. */
  public RaftInitialState(
      String group,
      String self,
      RaftTiming timing,
      HardState hardState,
      long baseIndex,
      long baseTerm,
      Membership membership,
      List<LogEntry> entries,
      SnapshotSource snapshots,
      RandomGenerator random) {
    this(
        group,
        self,
        timing,
        hardState,
        baseIndex,
        baseTerm,
        membership,
        entries,
        snapshots,
        random,
        MembershipPolicy.manual());
  }
}

package org.geraniumwharf.internal.raft;

import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/**
 * Configuration and durable state with which a replica starts.
 *
 * @param group replication group
 * @param self name of the replica
 * @param hardState durable term and vote
 * @param snapshotIndex index of the last entry that the durable snapshot covers, or 0 if there is
 *     no snapshot
 * @param snapshotTerm term of that entry
 * @param membership members at {@code snapshotIndex}
 * @param entries durable entries after {@code snapshotIndex}
 * @param snapshotSource provides the snapshots that are sent to replicas that need removed entries
 * @param random random source of election timeouts
 * @param membershipPolicy rules for commits and for the replacement of members
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

  /** Creates the initial state of a replica in a group with {@link MembershipPolicy#manual}. */
  public RaftInitialState(
      String group,
      String self,
      RaftTiming timing,
      HardState hardState,
      long snapshotIndex,
      long snapshotTerm,
      Membership membership,
      List<LogEntry> entries,
      SnapshotSource snapshotSource,
      RandomGenerator random) {
    this(
        group,
        self,
        timing,
        hardState,
        snapshotIndex,
        snapshotTerm,
        membership,
        entries,
        snapshotSource,
        random,
        MembershipPolicy.manual());
  }
}

package org.geraniumwharf.internal.raft;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.geraniumwharf.schema.state.Membership;

/**
 * The memberships of which a quorum each decides on elections and commits: the newest one of the
 * log and, until that is known as committed, the one before it. Two memberships that differ by a
 * member may have quorums without a replica in common that keeps its disk.
 */
final class DecidingMemberships {

  private final RaftLog log;

  /** Newest index that is known as committed and whose entry was durable before that was known. */
  private long durableCommitIndex;

  DecidingMemberships(RaftLog log, long durableCommitIndex) {
    this.log = log;
    this.durableCommitIndex = durableCommitIndex;
  }

  long durableCommitIndex() {
    return durableCommitIndex;
  }

  /**
   * Records that entries up to an index are durable and committed.
   *
   * @return whether the newest membership is so only now; a restart must not forget that, since the
   *     voters of the membership before may be gone
   */
  boolean recordDurableCommit(long index) {
    boolean wasNewestIncluded = isNewestIncluded(durableCommitIndex);
    durableCommitIndex = Math.max(durableCommitIndex, index);
    return !wasNewestIncluded && isNewestIncluded(durableCommitIndex);
  }

  private boolean isNewestIncluded(long index) {
    return log.membershipIndex() <= index;
  }

  /** Returns the memberships that decide, given the index up to which entries are committed. */
  List<Membership> get(long commitIndex) {
    Membership newest = log.membership();
    return log.previousMembership()
        .filter(previous -> !isNewestIncluded(Math.max(commitIndex, durableCommitIndex)))
        .map(previous -> List.of(previous, newest))
        .orElseGet(() -> List.of(newest));
  }

  /** Returns the replicas whose votes count in an election. */
  Set<String> electors(long commitIndex) {
    Set<String> names = new LinkedHashSet<>();
    get(commitIndex).forEach(membership -> names.addAll(membership.voters()));
    return names;
  }
}

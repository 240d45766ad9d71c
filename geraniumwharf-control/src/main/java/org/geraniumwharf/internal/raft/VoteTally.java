package org.geraniumwharf.internal.raft;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumwharf.schema.state.Membership;

/**
 * Votes granted to a candidate in one pre-vote or election.
 *
 * <p>A replica that lost its disk does not know which entries it stored and for whom it voted. Its
 * vote makes up a majority, but only beside so many votes of other replicas that each earlier
 * majority contains one of them. That one has refused its vote if the candidate lacks a committed
 * entry or if another candidate was elected in the same term.
 */
final class VoteTally {

  private final Set<String> grantedBy = new HashSet<>();
  private final Set<String> grantedByRecovering = new HashSet<>();

  /** Discards all votes and records the candidate's own. */
  void reset(String self) {
    grantedBy.clear();
    grantedByRecovering.clear();
    grantedBy.add(self);
  }

  void add(String name) {
    grantedBy.add(name);
  }

  /** Records the vote of a replica that lost its disk. */
  void addRecovering(String name) {
    grantedByRecovering.add(name);
  }

  /** Returns whether the votes elect the candidate in each of the memberships. */
  boolean isElectedIn(List<Membership> memberships) {
    return memberships.stream().allMatch(this::isElectedIn);
  }

  private boolean isElectedIn(Membership membership) {
    int voters = membership.voters().size();
    int majority = Quorum.majorityOf(voters);
    long knowing = membership.voters().stream().filter(grantedBy::contains).count();
    long given = membership.voters().stream().filter(this::isGivenBy).count();
    return given >= majority && knowing >= Quorum.intersectingMajority(voters);
  }

  private boolean isGivenBy(String name) {
    return grantedBy.contains(name) || grantedByRecovering.contains(name);
  }
}

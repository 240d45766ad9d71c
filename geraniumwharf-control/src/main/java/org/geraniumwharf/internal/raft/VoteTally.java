package org.geraniumwharf.internal.raft;

import java.util.HashSet;
import java.util.Set;
import org.geraniumwharf.schema.state.Membership;

/** Votes granted to a candidate in one pre-vote or election. */
final class VoteTally {

  private final Set<String> grantedBy = new HashSet<>();

  /** Discards all votes and records the candidate's own. */
  void reset(String self) {
    grantedBy.clear();
    grantedBy.add(self);
  }

  void add(String name) {
    grantedBy.add(name);
  }

  boolean isQuorumOf(Membership membership) {
    long votes = membership.voters().stream().filter(grantedBy::contains).count();
    return votes * 2 > membership.voters().size();
  }
}

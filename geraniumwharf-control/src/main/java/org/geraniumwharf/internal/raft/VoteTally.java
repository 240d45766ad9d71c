package org.geraniumwharf.internal.raft;

import java.util.HashSet;
import java.util.Set;
import org.geraniumwharf.schema.state.Membership;

/** Votes that a candidate has in one round. */
final class VoteTally {

  private final Set<String> grantedBy = new HashSet<>();

  /** Starts a round with the candidate's own vote. */
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

package org.geraniumwharf.internal.raft;

import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.Membership;

/** Computes and encodes memberships that differ from another by a single member. */
final class MembershipChange {

  private MembershipChange() {}

  static Membership apply(Membership membership, String name, boolean add) {
    if (add) {
      boolean isMember = membership.voters().contains(name) || membership.learners().contains(name);
      return isMember ? membership : membership.withLearners(with(membership.learners(), name));
    }
    return Membership.of(without(membership.voters(), name), without(membership.learners(), name));
  }

  static Membership promote(Membership membership, String learner) {
    return Membership.of(
        with(membership.voters(), learner), without(membership.learners(), learner));
  }

  static byte[] encode(Membership membership) {
    return Codec.messagePack().encode(membership);
  }

  private static List<String> with(List<String> names, String name) {
    List<String> changed = new ArrayList<>(names);
    changed.add(name);
    return changed;
  }

  private static List<String> without(List<String> names, String name) {
    return names.stream().filter(other -> !other.equals(name)).toList();
  }
}

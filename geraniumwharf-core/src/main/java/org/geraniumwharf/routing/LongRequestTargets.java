package org.geraniumwharf.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * The subset of the targets that long requests go to. It depends on the names of the targets alone,
 * so that entry instances agree on it without communication.
 */
final class LongRequestTargets {

  private static final double TARGET_SHARE = 1.0 / 3;
  private static final long HASH_KEY = RendezvousHash.keyOf("long-work");

  /** Up to this many targets the share is exact; beyond, the hash of each target decides. */
  private static final int MAX_SORTED_TARGETS = 64;

  private static final LongRequestTargets NONE = new LongRequestTargets(target -> false);

  private final Predicate<RoutableTarget> members;

  private LongRequestTargets(Predicate<RoutableTarget> members) {
    this.members = members;
  }

  /** Returns the empty subset, with which every request may go to every target. */
  static LongRequestTargets none() {
    return NONE;
  }

  /** Returns the subset of {@code targets} for long requests; empty for a single target. */
  static LongRequestTargets of(List<RoutableTarget> targets) {
    int count = (int) Math.ceil(targets.size() * TARGET_SHARE);
    if (targets.size() > MAX_SORTED_TARGETS) {
      return new LongRequestTargets(
          target -> RendezvousHash.weightFraction(target, HASH_KEY) < TARGET_SHARE);
    }
    boolean isDivisible = count < targets.size();
    Set<RoutableTarget> chosen =
        isDivisible
            ? new HashSet<>(RendezvousHash.preferredTargets(targets, HASH_KEY, count))
            : Set.of();
    return new LongRequestTargets(chosen::contains);
  }

  boolean contains(RoutableTarget target) {
    return members.test(target);
  }

  /**
   * Returns the targets for long requests, or those for other requests; all of {@code targets} when
   * there are none of that kind.
   */
  List<RoutableTarget> select(List<RoutableTarget> targets, boolean isLong) {
    if (this == NONE) {
      return targets;
    }
    List<RoutableTarget> selected =
        targets.stream().filter(target -> members.test(target) == isLong).toList();
    return selected.isEmpty() ? targets : selected;
  }
}

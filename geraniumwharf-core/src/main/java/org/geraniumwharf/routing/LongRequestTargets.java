package org.geraniumwharf.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * The part of the targets that long work goes to. It follows from the names of the targets alone,
 * so that entry instances agree on it without talking.
 */
final class LongRequestTargets {

  private static final double TARGET_SHARE = 1.0 / 3;
  private static final long HASH_KEY = RendezvousHash.keyOf("long-work");

  /** Up to this many targets the share is exact, beyond it each target falls in by its hash. */
  private static final int MAX_SORTED_TARGETS = 64;

  private static final LongRequestTargets NONE = new LongRequestTargets(target -> false);

  private final Predicate<RoutableTarget> members;

  private LongRequestTargets(Predicate<RoutableTarget> members) {
    this.members = members;
  }

  /** Returns a lane that no target is part of. */
  static LongRequestTargets none() {
    return NONE;
  }

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

  /** Returns the targets for long work, or those for other work; all of them if there is none. */
  List<RoutableTarget> select(List<RoutableTarget> targets, boolean isLong) {
    if (this == NONE) {
      return targets;
    }
    List<RoutableTarget> selected =
        targets.stream().filter(target -> members.test(target) == isLong).toList();
    return selected.isEmpty() ? targets : selected;
  }
}

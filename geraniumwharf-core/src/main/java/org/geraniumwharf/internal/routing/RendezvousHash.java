package org.geraniumwharf.internal.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.routing.RoutableTarget;

/**
 * Highest-random-weight hashing: daemons with the same targets agree on the preferred target of a
 * key without communication, and a target that leaves moves only its own keys.
 */
public final class RendezvousHash {

  private static final Hasher64 HASHER = Hashing.xxh3_64();
  private static final double UNIT = 0x1.0p-53;

  private RendezvousHash() {}

  /** Returns the target with the greatest weight for a key; empty without targets. */
  public static Optional<RoutableTarget> preferredTarget(List<RoutableTarget> targets, long key) {
    RoutableTarget preferred = null;
    long greatest = Long.MIN_VALUE;
    for (RoutableTarget target : targets) {
      long weight = weight(target, key);
      if (preferred == null || weight > greatest) {
        preferred = target;
        greatest = weight;
      }
    }
    return Optional.ofNullable(preferred);
  }

  /** Returns up to {@code count} targets, greatest weight first. */
  public static List<RoutableTarget> preferredTargets(
      List<RoutableTarget> targets, long key, int count) {
    List<RoutableTarget> ordered = new ArrayList<>(targets);
    ordered.sort(
        Comparator.comparingLong((RoutableTarget target) -> weight(target, key)).reversed());
    return ordered.subList(0, Math.min(count, ordered.size()));
  }

  /** Returns a number from 0 inclusive to 1 exclusive that depends on target and key only. */
  public static double weightFraction(RoutableTarget target, long key) {
    return fraction(weight(target, key));
  }

  /** Returns a hash as a number from 0 inclusive to 1 exclusive. */
  public static double fraction(long hash) {
    return (hash >>> 11) * UNIT;
  }

  public static long keyOf(String text) {
    return HASHER.hashCharsToLong(text);
  }

  /** Returns the weight of a target for a key, both given as hashes of their names. */
  public static long weight(long targetHash, long key) {
    return HASHER.hashLongLongToLong(targetHash, key);
  }

  /**
   * Returns a number that depends on a target and a key, both given as hashes of their names. It
   * takes a tenth of the time of {@link #weight} while the code is interpreted, but is not the same
   * in all versions of the program.
   */
  public static long mixed(long targetHash, long key) {
    long mixed = targetHash ^ key;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  private static long weight(RoutableTarget target, long key) {
    return weight(target.hash(), key);
  }
}

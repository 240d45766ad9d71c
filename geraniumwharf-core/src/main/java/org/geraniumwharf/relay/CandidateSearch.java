package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * Finds the targets that one decision compares. Applies the rules to a target only when it is
 * needed: while most targets accept requests, to few of them.
 */
final class CandidateSearch {

  /** Fewest targets that a request compares, besides those that have its context cached. */
  private static final int MIN_COMPARED_TARGETS = 3;

  /** Number of targets compared, relative to the mean number of targets per instance. */
  private static final int COMPARED_TARGETS_FACTOR = 2;

  /** Most targets that are compared because they have a part of the prompt cached. */
  private static final int MAX_CACHED_TARGETS = 8;

  /** Targets that are ordered at first, relative to those compared; most decisions need no more. */
  private static final int ORDERED_FACTOR = 2;

  private static final int MIN_ORDERED = 8;

  /** Bits of a position in the order that hold the index of its target. */
  private static final long INDEX_MASK = 0xffff;

  private final PlacementQuery query;
  private final RelayLoadTable.View loads;
  private final TargetExclusion[] exclusions;
  private final Candidate[] candidates;
  private final boolean[] isApplied;
  private final List<Candidate> healthy = new ArrayList<>();
  private final List<Candidate> ejected = new ArrayList<>();
  private final List<RelayTarget> overdue = new ArrayList<>();
  private long[] order = new long[0];
  private int ordered;
  private int walked;
  private int permittedCount;
  private boolean isAlternativeBusy;
  private boolean isBusy;
  private Instant changesAt = Instant.MAX;

  CandidateSearch(PlacementQuery query, RelayLoadTable.View loads, TargetExclusion[] exclusions) {
    this.query = query;
    this.loads = loads;
    this.exclusions = exclusions;
    this.candidates = new Candidate[query.targets().size()];
    this.isApplied = new boolean[candidates.length];
  }

  /**
   * A target that is excluded at most by its ejection and for want of a permit.
   *
   * @param index index of the target in the query
   */
  record Candidate(
      int index,
      RelayTarget target,
      RelayLoadTable.Load load,
      boolean isEjected,
      boolean hasPermit) {}

  /** Applies the rules to all targets and returns the candidates, the ejected ones included. */
  List<Candidate> all() {
    List<Candidate> open = new ArrayList<>();
    for (int i = 0; i < candidates.length; i++) {
      Candidate candidate = candidate(i);
      if (candidate != null) {
        open.add(candidate);
      }
    }
    return open;
  }

  /**
   * Returns candidates in the order of the hashes of target and request: as many as have to be
   * compared or, if there are fewer, all. None of them is ejected unless all available targets are;
   * then they are those that may be probed.
   */
  List<Candidate> usable() {
    walk();
    if (!healthy.isEmpty() || isAlternativeBusy) {
      return healthy;
    }
    List<Candidate> probed = new ArrayList<>();
    for (Candidate candidate : ejected) {
      if (candidate.load().mayBeProbed(query.now())) {
        probed.add(candidate);
      }
    }
    return probed;
  }

  private void walk() {
    int size = candidates.length;
    boolean isRanked = query.isGeneration() && most(size) < size;
    if (isRanked) {
      startOrder(most(size));
    }
    while (walked < size && !(isRanked && permittedCount >= most(estimated(permittedCount)))) {
      Candidate candidate = candidate(isRanked ? next() : walked);
      walked++;
      if (candidate == null) {
        continue;
      }
      if (candidate.isEjected()) {
        ejected.add(candidate);
      } else {
        healthy.add(candidate);
        permittedCount += candidate.hasPermit() ? 1 : 0;
      }
    }
  }

  /** Returns the number of targets that is to be expected if the walk found some so far. */
  private int estimated(int found) {
    return walked == 0 ? candidates.length : candidates.length * found / walked;
  }

  /**
   * Returns how many of some candidates are compared. With fewer instances more of them are
   * compared, since less of the load is unknown to this instance.
   */
  private int most(int count) {
    int share = COMPARED_TARGETS_FACTOR * count / Math.max(1, query.instances());
    return Math.max(MIN_COMPARED_TARGETS, 1 + share);
  }

  /**
   * Finds a number for each target that holds a hash of it and the request, and its index. Orders
   * the smallest of them, since all others are rarely needed.
   */
  private void startOrder(int expected) {
    int size = candidates.length;
    order = new long[size];
    double fraction = (double) (ORDERED_FACTOR * expected + MIN_ORDERED) / size;
    long bound =
        fraction < 1 ? Long.MIN_VALUE + 2 * (long) (fraction * Long.MAX_VALUE) : Long.MAX_VALUE;
    long key = query.requestKey();
    int last = size;
    for (int i = 0; i < size; i++) {
      long number = (RendezvousHash.mixed(loads.hash(i), key) & ~INDEX_MASK) | i;
      order[number <= bound ? ordered++ : --last] = number;
    }
    Arrays.sort(order, 0, ordered);
  }

  /** Returns the index of the next target in the order. */
  private int next() {
    if (walked == ordered) {
      Arrays.sort(order, ordered, order.length);
      ordered = order.length;
    }
    return (int) (order[walked] & INDEX_MASK);
  }

  /**
   * Returns those of the usable candidates that are compared, and those that have more of the
   * prompt cached than the stores or are preferred for its context.
   *
   * @param usable usable candidates, in the order of the hashes
   * @param needsPermit whether candidates without a permit are left out
   */
  List<Candidate> compared(List<Candidate> usable, boolean needsPermit) {
    if (!query.isGeneration()) {
      return needsPermit ? permitted(usable) : usable;
    }
    List<Candidate> compared = new ArrayList<>();
    boolean[] isCompared = new boolean[candidates.length];
    int most = most(estimated(needsPermit ? permittedCount(usable) : usable.size()));
    for (int i = 0; i < usable.size() && compared.size() < most; i++) {
      Candidate candidate = usable.get(i);
      if (candidate.hasPermit() || !needsPermit) {
        compared.add(candidate);
        isCompared[candidate.index()] = true;
      }
    }
    addUnlessCompared(query.preferredIndex(), usable, needsPermit, isCompared, compared);
    for (int index : mostCached()) {
      addUnlessCompared(index, usable, needsPermit, isCompared, compared);
    }
    return compared;
  }

  private void addUnlessCompared(
      int index,
      List<Candidate> usable,
      boolean needsPermit,
      boolean[] isCompared,
      List<Candidate> compared) {
    if (index < 0 || isCompared[index]) {
      return;
    }
    isCompared[index] = true;
    Candidate candidate = candidate(index);
    boolean isUsable =
        candidate != null
            && (usable == healthy ? !candidate.isEjected() : usable.contains(candidate));
    if (isUsable && (candidate.hasPermit() || !needsPermit)) {
      compared.add(candidate);
    }
  }

  /**
   * Returns the indexes of the targets that have most of the prompt cached, if it is more than the
   * stores hold; -1 in unused places. Of targets that have the same part cached, the request
   * decides which are returned.
   */
  private int[] mostCached() {
    int[] indexes = new int[MAX_CACHED_TARGETS];
    Arrays.fill(indexes, -1);
    int size = candidates.length;
    int from = size == 0 ? 0 : (int) Long.remainderUnsigned(query.requestKey(), size);
    int bound = query.storedTokens();
    int next = 0;
    for (int i = 0; i < size; i++) {
      int index = from + i < size ? from + i : from + i - size;
      if (loads.cachedTokens(index) > bound) {
        indexes[next] = index;
        next = placeOfLeast(indexes);
        bound = indexes[next] < 0 ? bound : loads.cachedTokens(indexes[next]);
      }
    }
    return indexes;
  }

  /** Returns an unused place or, if there is none, that of the target with the least cached. */
  private int placeOfLeast(int[] indexes) {
    int least = 0;
    for (int i = 0; i < indexes.length; i++) {
      if (indexes[i] < 0) {
        return i;
      }
      if (loads.cachedTokens(indexes[i]) < loads.cachedTokens(indexes[least])) {
        least = i;
      }
    }
    return least;
  }

  private int permittedCount(List<Candidate> usable) {
    return usable == healthy ? permittedCount : permitted(usable).size();
  }

  static List<Candidate> permitted(List<Candidate> candidates) {
    List<Candidate> permitted = new ArrayList<>();
    for (Candidate candidate : candidates) {
      if (candidate.hasPermit()) {
        permitted.add(candidate);
      }
    }
    return permitted;
  }

  // -------------------------------------------------------------------- rules

  /** Returns the target with an index as a candidate; null if it is none. */
  private Candidate candidate(int index) {
    if (!isApplied[index]) {
      isApplied[index] = true;
      candidates[index] = applyRules(index);
    }
    return candidates[index];
  }

  private Candidate applyRules(int index) {
    RelayTarget target = query.targets().get(index);
    RelayLoadTable.Load load = loads.load(index);
    boolean isEjected = false;
    boolean hasPermit = true;
    boolean isExcluded = false;
    boolean isAvailable = true;
    boolean isOfLoad = true;
    for (TargetExclusion rule : exclusions) {
      Optional<Exclusion> found = rule.find(query, target, load);
      if (found.isEmpty()) {
        continue;
      }
      Exclusion.Reason reason = found.get().reason();
      recordEnd(found.get(), load);
      isEjected |= reason == Exclusion.Reason.EJECTED;
      hasPermit &= reason != Exclusion.Reason.NO_PERMIT;
      isExcluded |= reason != Exclusion.Reason.EJECTED && reason != Exclusion.Reason.NO_PERMIT;
      isAvailable &= reason.isAvailable();
      isOfLoad &= reason.effect() == Exclusion.Effect.LOAD;
      if (reason == Exclusion.Reason.WEIGHTS_OVERDUE) {
        overdue.add(target);
      }
      if (!isAvailable && !isOfLoad) {
        break;
      }
    }
    isBusy |= isOfLoad;
    isAlternativeBusy |= isExcluded && isAvailable && !isEjected;
    return isExcluded ? null : new Candidate(index, target, load, isEjected, hasPermit);
  }

  private void recordEnd(Exclusion exclusion, RelayLoadTable.Load load) {
    Instant end = exclusion.until().orElse(Instant.MAX);
    changesAt = end.isBefore(changesAt) ? end : changesAt;
    if (exclusion.reason() == Exclusion.Reason.EJECTED
        && load.probeFrom().isAfter(query.now())
        && load.probeFrom().isBefore(changesAt)) {
      changesAt = load.probeFrom();
    } else if (exclusion.reason() == Exclusion.Reason.NO_PERMIT) {
      // Without answers of the leader the instance issues permits of its own, at any time.
      changesAt = query.now();
    }
  }

  /** Returns whether a target is kept from the request by its load only. */
  boolean isBusy() {
    return isBusy;
  }

  /** Returns the first time at which an exclusion that was found may end by itself. */
  Instant changesAt() {
    return changesAt;
  }

  List<RelayTarget> overdue() {
    return overdue;
  }
}

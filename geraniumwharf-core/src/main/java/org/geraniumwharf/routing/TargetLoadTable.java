package org.geraniumwharf.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumwharf.internal.checks.Checks;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.prefix.PrefixIndex;
import org.geraniumwharf.schema.operators.CandidateTerms;
import org.geraniumwharf.schema.targets.LoadReport;

/**
 * The load, health and cached pieces of all targets as observed by one daemon. Thread-safe: every
 * method takes the table's own lock, which is the innermost of the daemon, so no other lock is
 * taken while it is held.
 */
public final class TargetLoadTable {

  private static final double MAX_SHARE_FACTOR = 32;
  private static final double SHARE_DECAY = 0.99;
  private static final double MIN_SHARE_SAMPLES = 5;

  private final int ejectionThreshold;
  private final PrefixIndex index;
  private final Map<String, TargetLoad> loads = new HashMap<>();
  private final Map<String, Instant> ejections = new HashMap<>();
  private double acceptedFromAllDaemons;
  private double acceptedFromThisDaemon;

  private TargetLoadTable(int ejectionThreshold, PrefixIndex index) {
    this.ejectionThreshold = ejectionThreshold;
    this.index = index;
  }

  /**
   * Creates an empty table.
   *
   * @param ejectionThreshold consecutive failures after which a target is ejected
   * @param piecesPerTarget most cache hints retained per target
   */
  public static TargetLoadTable create(int ejectionThreshold, int piecesPerTarget) {
    return new TargetLoadTable(
        Checks.checkPositive(ejectionThreshold, "ejectionThreshold"),
        PrefixIndex.create(piecesPerTarget));
  }

  /** Records the dispatch of a request with {@code missingTokens} context tokens to compute. */
  public synchronized void recordStart(
      String target, String attempt, int missingTokens, Duration expected, Instant now) {
    load(target).recordStart(attempt, missingTokens, expected, now);
  }

  /** Records the time to the first token, and that the target now caches these pieces. */
  public synchronized void recordFirstToken(
      String target,
      String attempt,
      int missingTokens,
      Collection<PieceName> pieces,
      Duration expected,
      Duration actual,
      Instant now) {
    load(target).recordFirstToken(attempt, missingTokens, expected, actual, now);
    index.add(target, pieces);
  }

  /** Records that a request ended before its first token. */
  public synchronized void recordAbandonedBeforeFirstToken(
      String target, String attempt, int missingTokens) {
    load(target).recordAbandonedBeforeFirstToken(attempt, missingTokens);
  }

  /** Records the end of a request and the time since its dispatch, after {@link #recordStart}. */
  public synchronized void recordFinish(String target, Duration occupied) {
    load(target).recordFinish(occupied);
  }

  public synchronized void recordSuccess(String target) {
    load(target).recordSuccess();
  }

  public synchronized void recordFailure(String target, Instant now) {
    load(target)
        .recordFailure(ejectionThreshold, now)
        .ifPresent(until -> ejections.put(target, until));
  }

  /**
   * Applies a load report. The load in it is out of date when it arrives. Its count of accepted
   * requests gives, whatever the lag, this daemon's share of the targets' load, and the share stays
   * valid while the load of all daemons rises or falls together.
   */
  public synchronized void recordReport(String target, LoadReport report, Instant now) {
    load(target).recordReport(report, now).ifPresent(this::updateShare);
  }

  private void updateShare(TargetLoad.AcceptedRequests accepted) {
    acceptedFromAllDaemons = acceptedFromAllDaemons * SHARE_DECAY + accepted.fromAllDaemons();
    acceptedFromThisDaemon = acceptedFromThisDaemon * SHARE_DECAY + accepted.fromThisDaemon();
  }

  private double shareFactor() {
    double ratio =
        acceptedFromThisDaemon < MIN_SHARE_SAMPLES
            ? 1
            : acceptedFromAllDaemons / acceptedFromThisDaemon;
    return Math.max(1, Math.min(MAX_SHARE_FACTOR, ratio));
  }

  /** Removes a target that left or restarted, with its load, ejection and cached pieces. */
  public synchronized void removeTarget(String target) {
    loads.remove(target);
    ejections.remove(target);
    index.removeTarget(target);
  }

  /**
   * Updates the pieces that a target is expected to cache. Cache events carry no order within a
   * batch; a piece that is both stored and removed counts as removed, since no later event would
   * correct a piece wrongly taken as cached.
   */
  public synchronized void updateCachedPieces(
      String target, Collection<PieceName> stored, Collection<PieceName> removed) {
    index.add(target, stored);
    index.remove(target, removed);
  }

  /** Clears the cached pieces of a target, after a gap in its cache events. */
  public synchronized void clearCachedPieces(String target) {
    index.removeTarget(target);
  }

  /** Returns the number of cache hints, the pieces that targets are expected to cache. */
  public synchronized int cacheHints() {
    return index.size();
  }

  public synchronized int inFlight(String target) {
    return load(target).inFlight();
  }

  /** Returns the targets that are expected to cache leading pieces, those with the most first. */
  public synchronized List<PrefixIndex.Holder> holders(List<PieceName> pieces) {
    return index.holders(pieces);
  }

  /** Returns the names of the targets that are ejected at {@code now}. */
  public synchronized Set<String> ejected(Instant now) {
    ejections.values().removeIf(until -> !now.isBefore(until));
    return Set.copyOf(ejections.keySet());
  }

  /** Estimates the time to the first token at a target and its terms, ms. */
  public synchronized CandidateTerms estimate(
      RoutableTarget target, RoutingRequest request, String source, Instant now) {
    TargetLoad load = load(target.id());
    int held = index.matchedPieces(target.id(), request.pieces());
    double queue = load.queueMillis(target.profile(), shareFactor(), now);
    double recompute = TargetLoad.prefillMillis(target.profile(), request.missingTokens(held));
    double viaImport = importMillis(target, request, held);
    double prefill = Math.min(recompute, viaImport);
    double penalty = (load.slowness(now) - 1) * (queue + prefill);
    return CandidateTerms.of(
        target.id(),
        source,
        queue,
        prefill,
        viaImport < recompute,
        penalty,
        held,
        queue + prefill + penalty);
  }

  /**
   * Returns the time to import the kept prefix and compute the rest, ms; infinite when no kept
   * prefix is longer than what the target caches.
   */
  private static double importMillis(RoutableTarget target, RoutingRequest request, int held) {
    if (request.keptPrefix().isEmpty() || request.keptPrefix().get().pieces() <= held) {
      return Double.POSITIVE_INFINITY;
    }
    KeptPrefix kept = request.keptPrefix().get();
    int rest = request.missingTokens(kept.pieces());
    return kept.importMillis() + TargetLoad.prefillMillis(target.profile(), rest);
  }

  private TargetLoad load(String target) {
    return loads.computeIfAbsent(target, id -> new TargetLoad());
  }
}

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
 * What one daemon observed of all targets. Every method takes the table's own lock, which is the
 * innermost of the daemon: no other lock is taken while it is held.
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
   * @param ejectionThreshold failures in a row after which a target is ejected for a while
   * @param piecesPerTarget most cache hints kept for each target
   */
  public static TargetLoadTable create(int ejectionThreshold, int piecesPerTarget) {
    return new TargetLoadTable(
        Checks.checkPositive(ejectionThreshold, "ejectionThreshold"),
        PrefixIndex.create(piecesPerTarget));
  }

  /** Counts a dispatched request that has so many context tokens to compute. */
  public synchronized void recordStart(
      String target, String attempt, int missingTokens, Duration expected, Instant now) {
    load(target).recordStart(attempt, missingTokens, expected, now);
  }

  /** Learns from a first token and remembers that the target now holds these pieces. */
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

  /** Counts the end of a request that never had a first token. */
  public synchronized void recordAbandonedBeforeFirstToken(
      String target, String attempt, int missingTokens) {
    load(target).recordAbandonedBeforeFirstToken(attempt, missingTokens);
  }

  /** Counts the end of a request, after {@link #recordStart}. */
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
   * Takes a load report. It tells late how full a target is; its count of accepted requests tells,
   * lag or not, how much of the targets' work is this daemon's own, which holds through a swing
   * that all daemons see.
   */
  public synchronized void recordReport(String target, LoadReport report, Instant now) {
    load(target).recordReport(report, now).ifPresent(this::updateShare);
  }

  private void updateShare(TargetLoad.Taken accepted) {
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

  /** Forgets a target that left or restarted. */
  public synchronized void removeTarget(String target) {
    loads.remove(target);
    ejections.remove(target);
    index.removeTarget(target);
  }

  /**
   * Applies cache events of a target. They do not tell the order within a batch; a piece that is
   * both stored and removed counts as removed, since no later event would correct that.
   */
  public synchronized void updateCachedPieces(
      String target, Collection<PieceName> stored, Collection<PieceName> removed) {
    index.add(target, stored);
    index.remove(target, removed);
  }

  /** Forgets what a target holds, after a gap in its cache events. */
  public synchronized void clearCachedPieces(String target) {
    index.removeTarget(target);
  }

  /** Returns the pieces that any target is expected to hold. */
  public synchronized int cacheHints() {
    return index.size();
  }

  public synchronized int inFlight(String target) {
    return load(target).inFlight();
  }

  /** Returns targets that are expected to hold leading pieces, those with most first. */
  public synchronized List<PrefixIndex.Holder> holders(List<PieceName> pieces) {
    return index.holders(pieces);
  }

  /** Returns the targets that are ejected for now. */
  public synchronized Set<String> ejected(Instant now) {
    ejections.values().removeIf(until -> !now.isBefore(until));
    return Set.copyOf(ejections.keySet());
  }

  /** Estimates the time to the first token at a target, term by term. */
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

  /** Time to import what a store holds and to compute only the rest. */
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

package org.geraniumwharf.keptcache;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.internal.checks.Checks;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.prefix.PrefixAnchors;

/**
 * Decides which contexts are worth keeping: those that would take long to recompute, and of a
 * growing context only a version that is notably longer than the last one kept. Retains a bounded
 * number of contexts. Thread-safe; its lock is innermost.
 */
public final class ExportPolicy {

  private static final double MIN_EXPECTED_MILLIS = 10;
  private static final double PRIOR_RETURNS = 50;
  private static final double PRIOR_VISITS = 100;
  private static final double DECAY_PER_VISIT = 0.999;
  private static final double MIN_GROWTH_FACTOR = 1.25;

  private final int maxContexts;
  private final Map<PieceName, Integer> keptPieceCounts;
  private final Map<String, ReturnStatistics> statisticsByOrganisation = new HashMap<>();

  private ExportPolicy(int maxContexts) {
    this.maxContexts = maxContexts;
    this.keptPieceCounts =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<PieceName, Integer> eldest) {
            return size() > ExportPolicy.this.maxContexts;
          }
        };
  }

  /** Creates a policy that retains up to {@code maxContexts} contexts. */
  public static ExportPolicy create(int maxContexts) {
    return new ExportPolicy(Checks.checkPositive(maxContexts, "remembered"));
  }

  /**
   * Records a request with a context, and whether the context was seen before, for the return rate
   * of its organisation.
   */
  public synchronized void recordVisit(String organisation, List<PieceName> pieces) {
    if (pieces.isEmpty()) {
      return;
    }
    List<PieceName> anchors = PrefixAnchors.of(pieces);
    boolean isReturn = anchors.stream().anyMatch(keptPieceCounts::containsKey);
    keptPieceCounts.putIfAbsent(anchors.get(0), 0);
    ReturnStatistics returns =
        statisticsByOrganisation.computeIfAbsent(organisation, name -> new ReturnStatistics());
    returns.visits = returns.visits * DECAY_PER_VISIT + 1;
    returns.returns = returns.returns * DECAY_PER_VISIT + (isReturn ? 1 : 0);
  }

  /**
   * Returns whether saving {@code recomputeMillis} is worth a transfer or a look-up, given the
   * return rate of the organisation.
   */
  public synchronized boolean isWorthwhile(String organisation, double recomputeMillis) {
    ReturnStatistics returns =
        statisticsByOrganisation.computeIfAbsent(organisation, name -> new ReturnStatistics());
    return recomputeMillis * returns.returns / returns.visits >= MIN_EXPECTED_MILLIS;
  }

  /**
   * Returns whether a context is worth keeping and, if so, records it as kept.
   *
   * @param recomputeMillis time to compute the context again, ms
   */
  public synchronized boolean markIfWorthKeeping(
      String organisation, List<PieceName> pieces, double recomputeMillis) {
    if (pieces.isEmpty() || !isWorthwhile(organisation, recomputeMillis)) {
      return false;
    }
    int kept = 0;
    for (PieceName anchor : PrefixAnchors.of(pieces)) {
      kept = Math.max(kept, keptPieceCounts.getOrDefault(anchor, 0));
    }
    if (kept > 0 && pieces.size() < kept * MIN_GROWTH_FACTOR) {
      return false;
    }
    recordKeptPieces(pieces, pieces.size());
    return true;
  }

  /** Records that a store holds {@code kept} pieces of a context; 0 when it holds none. */
  public synchronized void recordKeptPieces(List<PieceName> pieces, int kept) {
    PrefixAnchors.of(pieces).stream()
        .findFirst()
        .ifPresent(anchor -> keptPieceCounts.put(anchor, kept));
  }

  private static final class ReturnStatistics {
    private double visits = PRIOR_VISITS;
    private double returns = PRIOR_RETURNS;
  }
}

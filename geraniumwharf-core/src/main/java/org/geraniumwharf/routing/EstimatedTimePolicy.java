package org.geraniumwharf.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.prefix.PrefixAnchors;
import org.geraniumwharf.prefix.PrefixIndex.Holder;
import org.geraniumwharf.schema.operators.CandidateTerms;

/**
 * Chooses the candidate with the least estimated time to the first token. Candidates are the
 * preferred targets of the context, the targets expected to cache most of it, and two random ones.
 * Requests much longer than the average go to a subset of the targets, which other requests avoid
 * as long as such requests arrive. Among candidates of nearly equal cost the first in this order is
 * chosen, so that small differences in load do not move a context away from its preferred target.
 *
 * <pre>{@code
 * RoutingPolicy policy = EstimatedTimePolicy.create(new SplittableRandom());
 * Optional<Decision> decision = policy.decide(request, targets, load, now);
 * }</pre>
 */
public final class EstimatedTimePolicy implements RoutingPolicy {

  private static final int RANDOM_CANDIDATES = 2;
  private static final int HOLDER_CANDIDATES = 2;
  private static final double COST_TOLERANCE_SHARE = 0.05;
  private static final double COST_TOLERANCE_MILLIS = 2;
  private static final String PREFERRED_SOURCE = "home";
  private static final String HOLDER_SOURCE = "holder";
  private static final String RANDOM_SOURCE = "random";

  private final RandomGenerator random;
  private final LongRequestDetector longRequests = LongRequestDetector.create();

  private EstimatedTimePolicy(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Creates a policy.
   *
   * @param random source of the random candidates; called under the policy's own lock only
   */
  public static EstimatedTimePolicy create(RandomGenerator random) {
    return new EstimatedTimePolicy(random);
  }

  @Override
  public Optional<Decision> decide(
      RoutingRequest request, List<RoutableTarget> targets, TargetLoadTable load, Instant now) {
    List<RoutableTarget> healthy = HealthyTargets.of(request, targets, load, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    List<Holder> holders = load.holders(request.pieces());
    boolean isLong = recordRequest(request, holders, targets, now);
    double unreportedMillis = isLong ? 0 : longRequests.unreportedDelayMillis(now);
    LongRequestTargets longTargets =
        isLong || unreportedMillis > 0 ? LongRequestTargets.of(targets) : LongRequestTargets.none();
    Map<RoutableTarget, String> sources =
        candidates(request, healthy, longTargets.select(healthy, isLong), holders);
    List<CandidateTerms> terms = new ArrayList<>(sources.size());
    sources.forEach(
        (target, source) -> {
          CandidateTerms estimate = load.estimate(target, request, source, now);
          terms.add(
              longTargets.contains(target) ? withDelay(estimate, unreportedMillis) : estimate);
        });
    String chosen = firstWithinTolerance(terms);
    terms.sort(Comparator.comparingDouble(CandidateTerms::costMillis));
    return sources.keySet().stream()
        .filter(target -> target.id().equals(chosen))
        .findFirst()
        .map(target -> Decision.of(target, terms));
  }

  private boolean recordRequest(
      RoutingRequest request, List<Holder> holders, List<RoutableTarget> targets, Instant now) {
    int held = holders.isEmpty() ? 0 : holders.get(0).pieces();
    int missing = request.missingTokens(held);
    double millis = TargetLoad.prefillMillis(targets.get(0).profile(), missing);
    return longRequests.recordRequest(missing, millis, now);
  }

  private static CandidateTerms withDelay(CandidateTerms terms, double millis) {
    return terms
        .withPenaltyMillis(terms.penaltyMillis() + millis)
        .withCostMillis(terms.costMillis() + millis);
  }

  private static String firstWithinTolerance(List<CandidateTerms> terms) {
    double cheapest = terms.stream().mapToDouble(CandidateTerms::costMillis).min().orElseThrow();
    double bound = cheapest * (1 + COST_TOLERANCE_SHARE) + COST_TOLERANCE_MILLIS;
    return terms.stream()
        .filter(candidate -> candidate.costMillis() <= bound)
        .findFirst()
        .orElseThrow()
        .target();
  }

  /**
   * Returns the candidates in order of preference, each with the source that is reported for it.
   *
   * @param preferredAmong healthy targets for requests of this length, from which the preferred and
   *     the random candidates are taken
   */
  private Map<RoutableTarget, String> candidates(
      RoutingRequest request,
      List<RoutableTarget> healthy,
      List<RoutableTarget> preferredAmong,
      List<Holder> holders) {
    Map<RoutableTarget, String> sources = new LinkedHashMap<>();
    preferredTargets(request, preferredAmong)
        .forEach(target -> sources.putIfAbsent(target, PREFERRED_SOURCE));
    holders.stream()
        .flatMap(holder -> find(holder.target(), healthy).stream())
        .limit(HOLDER_CANDIDATES)
        .forEach(holder -> sources.putIfAbsent(holder, HOLDER_SOURCE));
    for (int i = 0; i < RANDOM_CANDIDATES; i++) {
      sources.putIfAbsent(preferredAmong.get(nextIndex(preferredAmong.size())), RANDOM_SOURCE);
    }
    return sources;
  }

  private synchronized int nextIndex(int bound) {
    return random.nextInt(bound);
  }

  private static List<RoutableTarget> preferredTargets(
      RoutingRequest request, List<RoutableTarget> healthy) {
    List<RoutableTarget> preferred = new ArrayList<>();
    for (PieceName anchor : PrefixAnchors.of(request.pieces())) {
      RendezvousHash.preferredTarget(healthy, anchor.low()).ifPresent(preferred::add);
    }
    if (preferred.isEmpty()) {
      long key = RendezvousHash.keyOf(request.affinity());
      RendezvousHash.preferredTarget(healthy, key).ifPresent(preferred::add);
    }
    return preferred;
  }

  private static Optional<RoutableTarget> find(String id, List<RoutableTarget> targets) {
    return targets.stream().filter(target -> target.id().equals(id)).findFirst();
  }
}

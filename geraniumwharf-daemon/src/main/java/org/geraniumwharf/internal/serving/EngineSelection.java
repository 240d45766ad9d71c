package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.prefix.PrefixIndex.Holder;
import org.geraniumwharf.routing.Decision;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.RoutingPolicy;
import org.geraniumwharf.routing.RoutingRequest;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.operators.CandidateTerms;

/**
 * Chooses the engine for each attempt, and imports a prefix from the kept cache where that is
 * faster than computing it.
 */
public final class EngineSelection {

  private static final double MILLIS_PER_SECOND = 1000.0;

  /**
   * Fraction of the first-token bound accepted as an estimate; the rest covers estimation error.
   */
  private static final double ACCEPTED_BOUND_FRACTION = 0.9;

  private final TargetChooser chooser;
  private final RoutingPolicy policy;
  private final KeptCache kept;
  private final TargetLoadTable load;
  private final FleetViewHolder fleet;
  private final InstantSource clock;

  private EngineSelection(
      TargetChooser chooser,
      RoutingPolicy policy,
      KeptCache kept,
      TargetLoadTable load,
      FleetViewHolder fleet,
      InstantSource clock) {
    this.chooser = chooser;
    this.policy = policy;
    this.kept = kept;
    this.load = load;
    this.fleet = fleet;
    this.clock = clock;
  }

  public static EngineSelection create(
      TargetChooser chooser,
      RoutingPolicy policy,
      KeptCache kept,
      TargetLoadTable load,
      FleetViewHolder fleet,
      InstantSource clock) {
    return new EngineSelection(chooser, policy, kept, load, fleet, clock);
  }

  /**
   * Chooses an engine and imports a kept prefix there if that is faster than computing it. Blocks
   * while the stores are queried and the prefix is imported.
   *
   * @param excluded ids of engines that were already tried; ignored once all engines were tried
   * @throws ServingException if no engine is available, or the best one is expected to miss the
   *     route's first-token bound; nothing was dispatched
   */
  TargetChooser.Choice choose(RequestContext request, GenerationPlan plan, Set<String> excluded)
      throws ServingException {
    List<RoutableTarget> targets = engines(plan);
    RoutingRequest routing =
        RoutingRequest.of(
            request.id(),
            plan.pieces(),
            plan.pieceTokens(),
            plan.contextTokens(),
            areAllExcluded(targets, excluded) ? Set.of() : excluded);
    if (excluded.isEmpty()) {
      rejectIfQueuesAreLong(request, routing, targets);
    }
    Optional<KeptPrefix> found = findKeptPrefix(plan, routing, targets);
    TargetChooser.Choice choice =
        chooser.choose(
            request,
            policy,
            routing.withKeptPrefix(found),
            targets,
            Optional.of(plan.modelVersion()));
    if (excluded.isEmpty()) {
      rejectIfLate(request, choice);
    }
    if (choice.isImporting()) {
      kept.importInto(
          choice.target(), found.orElseThrow(), plan, request.timeLeft(clock.instant()));
    }
    return choice;
  }

  /** Returns the plan for the current view. Call it only before anything is sent to the caller. */
  GenerationPlan updatedPlan(GenerationPlan plan) throws ServingException {
    return plan.forView(fleet.current());
  }

  /** Returns whether there is an engine that is not in {@code excluded}. */
  boolean hasOtherEngine(GenerationPlan plan, Set<String> excluded) {
    return !areAllExcluded(engines(plan), excluded);
  }

  private List<RoutableTarget> engines(GenerationPlan plan) {
    return fleet.current().engines(plan.modelVersion(), plan.adapter());
  }

  private static boolean areAllExcluded(List<RoutableTarget> targets, Set<String> excluded) {
    return targets.stream().allMatch(target -> excluded.contains(target.id()));
  }

  /**
   * Looks up a kept prefix. The time it can save is computed for the engine expected to have most
   * of the context cached, so that stores are queried only for what no engine has.
   */
  private Optional<KeptPrefix> findKeptPrefix(
      GenerationPlan plan, RoutingRequest routing, List<RoutableTarget> targets) {
    int held = load.holders(plan.pieces()).stream().mapToInt(Holder::pieces).findFirst().orElse(0);
    double rate =
        targets.stream()
            .mapToDouble(target -> target.profile().prefillTokensPerSecond())
            .max()
            .orElse(1);
    double least = routing.missingTokens(held) * MILLIS_PER_SECOND / rate;
    return targets.isEmpty() ? Optional.empty() : kept.find(plan, least);
  }

  /**
   * Rejects a request whose queueing time alone exceeds the bound, before any store is queried: an
   * import cannot shorten the queue.
   */
  private void rejectIfQueuesAreLong(
      RequestContext request, RoutingRequest routing, List<RoutableTarget> targets)
      throws ServingException {
    if (request.route().firstTokenMillis().isEmpty()) {
      return;
    }
    Optional<Decision> preview = policy.decide(routing, targets, load, clock.instant());
    if (preview.isPresent()) {
      CandidateTerms best = preview.get().candidates().get(0);
      rejectIfOverBound(request, (long) best.queueMillis());
    }
  }

  /** Rejects a request if the best engine, and therefore every other, is expected to be late. */
  private static void rejectIfLate(RequestContext request, TargetChooser.Choice choice)
      throws ServingException {
    rejectIfOverBound(request, choice.expectedLatency().toMillis());
  }

  private static void rejectIfOverBound(RequestContext request, long expectedMillis)
      throws ServingException {
    Optional<Long> bound = request.route().firstTokenMillis();
    if (bound.isEmpty()) {
      return;
    }
    long accepted = (long) (bound.get() * ACCEPTED_BOUND_FRACTION);
    if (expectedMillis > accepted) {
      throw ServingErrors.overloaded(
          "the first token is expected after "
              + expectedMillis
              + " ms, the route allows "
              + bound.get(),
          Duration.ofMillis(expectedMillis - accepted));
    }
  }
}

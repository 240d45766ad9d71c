package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Chooses the target of a request by the estimated time to its first token, which depends on the
 * part of the prompt that the target has to compute and on its current load. A request whose
 * context is not known to be cached anywhere goes to the preferred target, which rendezvous hashing
 * selects by the context, so that instances agree without communicating.
 *
 * <p>Handles bursts of requests: reports of remote load are some hundred milliseconds old, so a
 * target that looks idle to all instances would get every request that arrives in the meantime.
 * Each request therefore compares only a few targets, selected by a hash of its id, besides those
 * that have its context cached.
 */
public final class RelayPlacement {

  /** Time to the first token besides the prefill of the prompt. */
  private static final double FIRST_TOKEN_OVERHEAD_MILLIS = 10;

  /** Delay that each running request adds to another one at an engine. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 2;

  /** Delay that each request in flight adds to the next one at a plain target. */
  private static final double MILLIS_PER_PLAIN_REQUEST = 20;

  /**
   * Share of a context that its preferred target is expected to have cached although this instance
   * never sent it there.
   */
  private static final double PREFERRED_TARGET_CACHED_SHARE = 0.6;

  /** Delay at an engine whose whole memory is occupied. */
  private static final double FULL_MEMORY_MILLIS = 150;

  /** Fewest targets that a request compares, besides those that have its context cached. */
  private static final int MIN_COMPARED_TARGETS = 3;

  /** Number of targets compared, relative to the mean number of targets per instance. */
  private static final int COMPARED_TARGETS_FACTOR = 2;

  private static final double OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS = 2;

  /** Plain targets whose estimates differ by less than this are ranked by a hash of the request. */
  private static final double PLAIN_JITTER_MILLIS = 25;

  private final String dataCentre;
  private final BeginLimit limit;

  private RelayPlacement(String dataCentre, BeginLimit limit) {
    this.dataCentre = dataCentre;
    this.limit = limit;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param dataCentre data centre of the instance
   */
  public static RelayPlacement forDataCentre(String dataCentre) {
    return new RelayPlacement(dataCentre, BeginLimit.none());
  }

  /** Returns the same policy with a limit to the time within which requests may begin. */
  public RelayPlacement withLimit(BeginLimit newLimit) {
    return new RelayPlacement(dataCentre, newLimit);
  }

  /**
   * A chosen target.
   *
   * @param target the target
   * @param costMillis estimated time to the first token or, at a plain target, estimated delay, ms
   * @param cachedTokens tokens of the prompt that the target probably has cached
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param firstTokenMillis estimated time to the first token at an idle target, ms
   * @param load load of the target when it was chosen
   */
  public record Choice(
      RelayTarget target,
      double costMillis,
      int cachedTokens,
      int storedTokens,
      long firstTokenMillis,
      RelayLoadTable.Load load) {}

  /**
   * Returns the cheapest target that accepts requests, has free capacity, is not ejected and has no
   * limit or a permit left. Records the demand for permits of cheaper targets. If all targets that
   * accept requests are ejected, one that may be probed is returned, since nothing else would tell
   * before the end of its ejection that it has recovered.
   *
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param rates rates of the engines; unused for a request that is no generation
   * @param excluded targets that this request was already sent to
   * @param instances number of live entry instances, including this one
   */
  public Optional<Choice> choose(
      ResolvedRequest resolved,
      List<RelayTarget> targets,
      RelayLoadTable table,
      int storedTokens,
      EngineRates rates,
      Set<String> excluded,
      int instances,
      Instant now) {
    String preferred = preferredTarget(resolved, targets);
    List<Choice> open =
        openChoices(
                resolved, targets, preferred, table, storedTokens, rates, excluded, instances, now)
            .toList();
    List<Choice> healthy = open.stream().filter(choice -> !choice.load().isEjected()).toList();
    boolean isProbe = healthy.isEmpty() && areAllEjected(resolved, targets, table, excluded, now);
    List<Choice> usable =
        isProbe ? open.stream().filter(choice -> choice.load().mayBeProbed()).toList() : healthy;
    List<Choice> permitted = usable.stream().filter(choice -> choice.load().hasPermit()).toList();
    Optional<Choice> chosen = cheapest(comparedChoices(resolved, permitted, preferred, instances));
    if (permitted.size() < usable.size()) {
      recordDemand(
          resolved, comparedChoices(resolved, usable, preferred, instances), chosen, table, now);
    }
    return chosen;
  }

  private static Optional<Choice> cheapest(Stream<Choice> choices) {
    return choices.min(Comparator.comparingDouble(Choice::costMillis));
  }

  /** Records that a request would have gone to the targets without a permit that are cheaper. */
  private static void recordDemand(
      ResolvedRequest resolved,
      Stream<Choice> choices,
      Optional<Choice> chosen,
      RelayLoadTable table,
      Instant now) {
    double bound = chosen.map(Choice::costMillis).orElse(Double.POSITIVE_INFINITY);
    TargetPermits permits = table.permits();
    choices
        .filter(choice -> !choice.load().hasPermit() && choice.costMillis() < bound)
        .map(Choice::target)
        .forEach(
            target -> {
              if (chosen.isPresent()) {
                permits.recordSteered(target.id(), target.incarnation(), now);
              } else {
                permits.addWaiting(target.id(), target.incarnation(), resolved.request().id(), now);
              }
            });
  }

  private static boolean areAllEjected(
      ResolvedRequest resolved,
      List<RelayTarget> targets,
      RelayLoadTable table,
      Set<String> excluded,
      Instant now) {
    return targets.stream()
        .filter(target -> !excluded.contains(target.id()))
        .map(target -> table.load(target, resolved, now))
        .filter(RelayLoadTable.Load::isAccepting)
        .allMatch(RelayLoadTable.Load::isEjected);
  }

  /**
   * Returns the cheapest target that accepts requests, has free capacity and has no limit or a
   * permit left, including ejected ones. Records the demand for permits of cheaper targets. Meant
   * for a request whose response has started: it can neither be queued nor rejected and would
   * otherwise be lost.
   *
   * @param rates rates of the engines; unused for a request that is no generation
   */
  public Optional<Choice> chooseIncludingEjected(
      ResolvedRequest resolved,
      List<RelayTarget> targets,
      RelayLoadTable table,
      EngineRates rates,
      Set<String> excluded,
      int instances,
      Instant now) {
    String preferred = preferredTarget(resolved, targets);
    List<Choice> open =
        openChoices(resolved, targets, preferred, table, 0, rates, excluded, instances, now)
            .toList();
    Optional<Choice> chosen = cheapest(open.stream().filter(choice -> choice.load().hasPermit()));
    recordDemand(resolved, open.stream(), chosen, table, now);
    return chosen;
  }

  /** Returns a choice for each target that accepts requests and has free capacity. */
  private Stream<Choice> openChoices(
      ResolvedRequest resolved,
      List<RelayTarget> targets,
      String preferred,
      RelayLoadTable table,
      int storedTokens,
      EngineRates rates,
      Set<String> excluded,
      int instances,
      Instant now) {
    List<Choice> open = new ArrayList<>();
    for (RelayTarget target : targets) {
      RelayLoadTable.Load load = table.load(target, resolved, now);
      if (!excluded.contains(target.id()) && load.isAccepting()) {
        evaluate(resolved, target, preferred, load, storedTokens, rates, instances)
            .filter(choice -> beginsInTime(choice, now))
            .ifPresent(open::add);
      }
    }
    return open.stream();
  }

  /** Returns whether a request is expected to begin at a target within its limit. */
  private boolean beginsInTime(Choice choice, Instant now) {
    return limit
        .timeLeft(choice.target(), now)
        .filter(left -> choice.costMillis() >= left.toMillis())
        .isEmpty();
  }

  /** A choice with the rank, from 0 to 1, that a hash of the request gives its target. */
  private record RankedChoice(Choice choice, double rank) {}

  /**
   * Returns the choices to compare. With fewer instances more targets are compared, since less of
   * the load is unknown to this instance.
   */
  private static Stream<Choice> comparedChoices(
      ResolvedRequest resolved, List<Choice> open, String preferred, int instances) {
    int share = COMPARED_TARGETS_FACTOR * open.size() / Math.max(1, instances);
    int most = Math.max(MIN_COMPARED_TARGETS, 1 + share);
    if (!resolved.isGeneration() || open.size() <= most) {
      return open.stream();
    }
    long key = RendezvousHash.keyOf(resolved.request().id());
    Stream<Choice> ranked =
        open.stream()
            .map(choice -> new RankedChoice(choice, hashFraction(choice.target(), key)))
            .sorted(Comparator.comparingDouble(RankedChoice::rank))
            .limit(most)
            .map(RankedChoice::choice);
    Stream<Choice> cached =
        open.stream()
            .filter(
                choice ->
                    choice.target().id().equals(preferred)
                        || choice.cachedTokens() > choice.storedTokens());
    return Stream.concat(ranked, cached);
  }

  private Optional<Choice> evaluate(
      ResolvedRequest resolved,
      RelayTarget target,
      String preferred,
      RelayLoadTable.Load load,
      int storedTokens,
      EngineRates rates,
      int instances) {
    if (!TargetCapacity.hasFreeCapacity(resolved, target, load, instances)) {
      return Optional.empty();
    }
    double distance =
        target.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS;
    double firstTokenMillis =
        resolved.isGeneration()
            ? firstTokenMillis(resolved, target, preferred, load, storedTokens, rates)
            : 0;
    double loadMillis =
        resolved.isGeneration()
            ? engineLoadMillis(resolved, load)
            : plainLoadMillis(resolved, target, load);
    return Optional.of(
        new Choice(
            target,
            distance + firstTokenMillis + loadMillis,
            load.cachedTokens(),
            storedTokens,
            Math.round(firstTokenMillis),
            load));
  }

  private static double plainLoadMillis(
      ResolvedRequest resolved, RelayTarget target, RelayLoadTable.Load load) {
    long key = RendezvousHash.keyOf(resolved.request().id());
    return load.inFlight() * MILLIS_PER_PLAIN_REQUEST
        + PLAIN_JITTER_MILLIS * hashFraction(target, key);
  }

  /** Returns a pseudo-random number from 0 to 1 for a target and a request. */
  private static double hashFraction(RelayTarget target, long requestKey) {
    return RendezvousHash.fraction(hashWeight(target, requestKey));
  }

  /** Estimates the time to the first token of a request at an idle target, ms. */
  private static double firstTokenMillis(
      ResolvedRequest resolved,
      RelayTarget target,
      String preferred,
      RelayLoadTable.Load load,
      int storedTokens,
      EngineRates rates) {
    double fetched = Math.max(0, storedTokens - load.cachedTokens());
    double missing = resolved.request().promptTokens() - load.cachedTokens() - fetched;
    if (target.id().equals(preferred)) {
      int shared = resolved.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
      int available = Math.max(storedTokens, load.cachedTokens());
      missing -= PREFERRED_TARGET_CACHED_SHARE * Math.max(0, shared - available);
    }
    return FIRST_TOKEN_OVERHEAD_MILLIS + rates.computeMillis(missing) + rates.fetchMillis(fetched);
  }

  /** Estimates the delay by the other requests at an engine, ms. */
  private static double engineLoadMillis(ResolvedRequest resolved, RelayLoadTable.Load load) {
    EngineCapacity engine = resolved.service().engine().orElseThrow();
    return load.backlogMillis()
        + load.inFlight() * MILLIS_PER_RUNNING_REQUEST
        + FULL_MEMORY_MILLIS * load.footprint() / engine.cacheTokens();
  }

  private static String preferredTarget(ResolvedRequest resolved, List<RelayTarget> targets) {
    if (!resolved.isGeneration()) {
      return "";
    }
    List<PromptPart> shared = resolved.sharedParts();
    long key = RendezvousHash.keyOf(shared.get(shared.size() - 1).id());
    String preferred = "";
    long greatest = Long.MIN_VALUE;
    for (RelayTarget target : targets) {
      long weight = hashWeight(target, key);
      if (preferred.isEmpty() || weight > greatest) {
        preferred = target.id();
        greatest = weight;
      }
    }
    return preferred;
  }

  private static long hashWeight(RelayTarget target, long key) {
    return RendezvousHash.weight(RendezvousHash.keyOf(target.id()), key);
  }
}

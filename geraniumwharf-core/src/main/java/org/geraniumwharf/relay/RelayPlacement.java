package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.limit.TargetPermits;

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

  /** Fewest targets that a request compares, besides those that have its context cached. */
  private static final int MIN_COMPARED_TARGETS = 3;

  /** Number of targets compared, relative to the mean number of targets per instance. */
  private static final int COMPARED_TARGETS_FACTOR = 2;

  private final PlacementRules rules;
  private final TargetExclusion[] exclusions;
  private final EstimateTerm[] terms;

  private RelayPlacement(PlacementRules rules) {
    this.rules = rules;
    this.exclusions = rules.exclusions().toArray(TargetExclusion[]::new);
    this.terms = rules.terms().toArray(EstimateTerm[]::new);
  }

  /** Creates a policy of some rules. */
  public static RelayPlacement of(PlacementRules rules) {
    return new RelayPlacement(rules);
  }

  /**
   * Creates the policy of an instance with the standard rules.
   *
   * @param dataCentre data centre of the instance
   */
  public static RelayPlacement forDataCentre(String dataCentre) {
    return of(PlacementRules.standard(dataCentre));
  }

  /** Returns the same policy with a limit to the time within which requests may begin. */
  public RelayPlacement withLimit(BeginLimit limit) {
    return of(rules.withLimit(limit));
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
   * What a decision depends on at one target.
   *
   * @param exclusions what excludes the target; none if it is a candidate
   * @param termMillis value of each term by its name, ms
   */
  public record Explanation(
      RelayTarget target, List<Exclusion> exclusions, Map<String, Double> termMillis) {}

  /** A target that is excluded at most by its ejection and for want of a permit. */
  private record Candidate(
      RelayTarget target, RelayLoadTable.Load load, boolean isEjected, boolean hasPermit) {}

  /**
   * Candidates for a request.
   *
   * @param isAlternativeBusy whether a target that is available and not ejected is no candidate
   */
  private record Candidates(
      List<Candidate> open,
      boolean isAnyEjected,
      boolean isAnyAtLimit,
      boolean isAlternativeBusy) {}

  /**
   * Returns the cheapest target that no rule excludes. Records the demand for permits of cheaper
   * targets. If all targets that are available are ejected, one that may be probed is returned,
   * since nothing else would tell before the end of its ejection that it has recovered.
   */
  public Optional<Choice> choose(PlacementQuery query, RelayLoadTable table) {
    Candidates candidates = candidates(query, table);
    List<Candidate> usable = usable(candidates, query.now());
    List<Candidate> permitted = candidates.isAnyAtLimit() ? permitted(usable) : usable;
    Optional<Choice> chosen = cheapest(query, compared(query, permitted));
    if (permitted.size() < usable.size()) {
      recordDemand(query, compared(query, usable), chosen, table.permits());
    }
    return chosen;
  }

  /**
   * Returns the cheapest target that no rule excludes, including ejected ones. Records the demand
   * for permits of cheaper targets. Meant for a request whose response has started: it can neither
   * be queued nor rejected and would otherwise be lost.
   */
  public Optional<Choice> chooseIncludingEjected(PlacementQuery query, RelayLoadTable table) {
    List<Candidate> open = candidates(query, table).open();
    Optional<Choice> chosen = cheapest(query, permitted(open));
    recordDemand(query, open, chosen, table.permits());
    return chosen;
  }

  // --------------------------------------------------------------- candidates

  private Candidates candidates(PlacementQuery query, RelayLoadTable table) {
    List<RelayTarget> targets = query.targets();
    RelayLoadTable.Load[] loads = table.loads(query);
    List<Candidate> open = new ArrayList<>(loads.length);
    boolean isAnyEjected = false;
    boolean isAnyAtLimit = false;
    boolean isAlternativeBusy = false;
    for (int i = 0; i < loads.length; i++) {
      RelayTarget target = targets.get(i);
      boolean isEjected = false;
      boolean hasPermit = true;
      boolean isBusy = false;
      boolean isAvailable = true;
      for (TargetExclusion rule : exclusions) {
        Optional<Exclusion> found = rule.find(query, target, loads[i]);
        if (found.isPresent()) {
          Exclusion.Reason reason = found.get().reason();
          isEjected |= reason == Exclusion.Reason.EJECTED;
          hasPermit &= reason != Exclusion.Reason.NO_PERMIT;
          isBusy |= reason != Exclusion.Reason.EJECTED && reason != Exclusion.Reason.NO_PERMIT;
          isAvailable = reason.isAvailable();
          if (!isAvailable) {
            break;
          }
        }
      }
      if (isBusy) {
        isAlternativeBusy |= isAvailable && !isEjected;
      } else {
        open.add(new Candidate(target, loads[i], isEjected, hasPermit));
        isAnyEjected |= isEjected;
        isAnyAtLimit |= !hasPermit;
      }
    }
    return new Candidates(open, isAnyEjected, isAnyAtLimit, isAlternativeBusy);
  }

  /** Returns the candidates that are not ejected or, if there is no such target, may be probed. */
  private static List<Candidate> usable(Candidates candidates, Instant now) {
    if (!candidates.isAnyEjected()) {
      return candidates.open();
    }
    List<Candidate> healthy = new ArrayList<>();
    List<Candidate> probed = new ArrayList<>();
    for (Candidate candidate : candidates.open()) {
      if (!candidate.isEjected()) {
        healthy.add(candidate);
      } else if (candidate.load().mayBeProbed(now)) {
        probed.add(candidate);
      }
    }
    return healthy.isEmpty() && !candidates.isAlternativeBusy() ? probed : healthy;
  }

  private static List<Candidate> permitted(List<Candidate> candidates) {
    List<Candidate> permitted = new ArrayList<>();
    for (Candidate candidate : candidates) {
      if (candidate.hasPermit()) {
        permitted.add(candidate);
      }
    }
    return permitted;
  }

  /**
   * Returns the candidates to compare. With fewer instances more of them are compared, since less
   * of the load is unknown to this instance.
   */
  private static List<Candidate> compared(PlacementQuery query, List<Candidate> candidates) {
    int share = COMPARED_TARGETS_FACTOR * candidates.size() / Math.max(1, query.instances());
    int most = Math.max(MIN_COMPARED_TARGETS, 1 + share);
    if (!query.isGeneration() || candidates.size() <= most) {
      return candidates;
    }
    List<Candidate> compared = firstByHash(query.requestKey(), candidates, most);
    for (Candidate candidate : candidates) {
      if (candidate.load().cachedTokens() > query.storedTokens()
          || query.isPreferred(candidate.target())) {
        compared.add(candidate);
      }
    }
    return compared;
  }

  /** Returns the candidates with the smallest hashes of target and request. */
  private static List<Candidate> firstByHash(long key, List<Candidate> candidates, int count) {
    long[] hashes = new long[count];
    Candidate[] first = new Candidate[count];
    int size = 0;
    for (Candidate candidate : candidates) {
      long hash = RendezvousHash.weight(candidate.target().hash(), key) >>> 1;
      if (size == count && hash >= hashes[count - 1]) {
        continue;
      }
      int position = size < count ? size++ : count - 1;
      for (; position > 0 && hashes[position - 1] > hash; position--) {
        hashes[position] = hashes[position - 1];
        first[position] = first[position - 1];
      }
      hashes[position] = hash;
      first[position] = candidate;
    }
    return new ArrayList<>(Arrays.asList(first));
  }

  // ---------------------------------------------------------------- estimates

  private Optional<Choice> cheapest(PlacementQuery query, List<Candidate> candidates) {
    Candidate best = null;
    double leastMillis = Double.POSITIVE_INFINITY;
    for (Candidate candidate : candidates) {
      double millis = totalMillis(terms, query, candidate.target(), candidate.load());
      if (best == null || millis < leastMillis) {
        best = candidate;
        leastMillis = millis;
      }
    }
    return best == null ? Optional.empty() : Optional.of(choice(query, best, leastMillis));
  }

  private Choice choice(PlacementQuery query, Candidate candidate, double costMillis) {
    RelayLoadTable.Load load = candidate.load();
    double ownMillis = 0;
    for (EstimateTerm term : terms) {
      if (term.isOwnWork()) {
        ownMillis += term.millis(query, candidate.target(), load);
      }
    }
    return new Choice(
        candidate.target(),
        costMillis,
        load.cachedTokens(),
        query.storedTokens(),
        Math.round(ownMillis),
        load);
  }

  static double totalMillis(
      EstimateTerm[] terms, PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    double millis = 0;
    for (EstimateTerm term : terms) {
      millis += term.millis(query, target, load);
    }
    return millis;
  }

  /** Records that a request would have gone to the targets without a permit that are cheaper. */
  private void recordDemand(
      PlacementQuery query,
      List<Candidate> candidates,
      Optional<Choice> chosen,
      TargetPermits permits) {
    double bound = chosen.map(Choice::costMillis).orElse(Double.POSITIVE_INFINITY);
    for (Candidate candidate : candidates) {
      RelayTarget target = candidate.target();
      if (candidate.hasPermit() || totalMillis(terms, query, target, candidate.load()) >= bound) {
        continue;
      }
      if (chosen.isPresent()) {
        permits.recordSteered(target.id(), target.incarnation(), query.now());
      } else {
        permits.addWaiting(
            target.id(), target.incarnation(), query.request().request().id(), query.now());
      }
    }
  }

  // -------------------------------------------------------------- explanations

  /** Returns, for each target of a request, what excludes it and the terms of its estimate. */
  public List<Explanation> explain(PlacementQuery query, RelayLoadTable table) {
    RelayLoadTable.Load[] loads = table.loads(query);
    List<Explanation> explanations = new ArrayList<>(loads.length);
    for (int i = 0; i < loads.length; i++) {
      RelayTarget target = query.targets().get(i);
      List<Exclusion> found = new ArrayList<>();
      for (TargetExclusion rule : exclusions) {
        rule.find(query, target, loads[i]).ifPresent(found::add);
      }
      Map<String, Double> millis = new LinkedHashMap<>();
      for (EstimateTerm term : terms) {
        millis.put(term.name(), term.millis(query, target, loads[i]));
      }
      explanations.add(new Explanation(target, found, millis));
    }
    return explanations;
  }

  /** Returns when the targets of a request that found none are expected to accept it. */
  public Openings openings(PlacementQuery query, RelayLoadTable table) {
    RelayLoadTable.Load[] loads = table.loads(query);
    Openings.Builder openings = new Openings.Builder(query, table);
    for (int i = 0; i < loads.length; i++) {
      RelayTarget target = query.targets().get(i);
      openings.startTarget(target, loads[i]);
      for (TargetExclusion rule : exclusions) {
        rule.find(query, target, loads[i]).ifPresent(openings::add);
      }
      openings.endTarget();
    }
    return openings.build();
  }
}

package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  /**
   * Result of a decision.
   *
   * @param choice the cheapest target that no rule excludes; empty if there is none
   * @param isBusy whether a target is kept from the request by its load only, so that it may accept
   *     the request at any time
   * @param changesAt without a choice, the time before which none will be found unless the load,
   *     the view or the permits change
   * @param overdue targets that were found to be excluded because of their weights
   */
  public record Decision(
      Optional<Choice> choice, boolean isBusy, Instant changesAt, List<RelayTarget> overdue) {}

  /** Returns the choice of a {@linkplain #decide decision}. */
  public Optional<Choice> choose(PlacementQuery query, RelayLoadTable table) {
    return decide(query, table).choice();
  }

  /**
   * Chooses the cheapest target that no rule excludes. Records the demand for permits of cheaper
   * targets. If all targets that are available are ejected, one that may be probed is chosen, since
   * nothing else would tell before the end of its ejection that it has recovered.
   */
  public Decision decide(PlacementQuery query, RelayLoadTable table) {
    CandidateSearch search = new CandidateSearch(query, table.view(query), exclusions);
    List<CandidateSearch.Candidate> usable = search.usable();
    List<CandidateSearch.Candidate> compared = search.compared(usable, true);
    Optional<Choice> chosen = cheapest(query, compared);
    if (lacksPermit(usable)) {
      recordDemand(query, search.compared(usable, false), chosen, table.permits());
    }
    Instant expiry = table.remoteLoadExpiresAt();
    Instant changesAt = search.changesAt();
    return new Decision(
        chosen,
        search.isBusy(),
        query.now().isBefore(expiry) && expiry.isBefore(changesAt) ? expiry : changesAt,
        search.overdue());
  }

  private static boolean lacksPermit(List<CandidateSearch.Candidate> candidates) {
    for (CandidateSearch.Candidate candidate : candidates) {
      if (!candidate.hasPermit()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the cheapest target that no rule excludes, including ejected ones. Records the demand
   * for permits of cheaper targets. Meant for a request whose response has started: it can neither
   * be queued nor rejected and would otherwise be lost.
   */
  public Optional<Choice> chooseIncludingEjected(PlacementQuery query, RelayLoadTable table) {
    CandidateSearch search = new CandidateSearch(query, table.view(query), exclusions);
    List<CandidateSearch.Candidate> open = search.all();
    Optional<Choice> chosen = cheapest(query, CandidateSearch.permitted(open));
    recordDemand(query, open, chosen, table.permits());
    return chosen;
  }

  // ---------------------------------------------------------------- estimates

  private Optional<Choice> cheapest(
      PlacementQuery query, List<CandidateSearch.Candidate> candidates) {
    CandidateSearch.Candidate best = null;
    double leastMillis = Double.POSITIVE_INFINITY;
    for (CandidateSearch.Candidate candidate : candidates) {
      double millis = totalMillis(terms, query, candidate.target(), candidate.load());
      if (best == null || millis < leastMillis) {
        best = candidate;
        leastMillis = millis;
      }
    }
    return best == null ? Optional.empty() : Optional.of(choice(query, best, leastMillis));
  }

  private Choice choice(
      PlacementQuery query, CandidateSearch.Candidate candidate, double costMillis) {
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
      List<CandidateSearch.Candidate> candidates,
      Optional<Choice> chosen,
      TargetPermits permits) {
    double bound = chosen.map(Choice::costMillis).orElse(Double.POSITIVE_INFINITY);
    for (CandidateSearch.Candidate candidate : candidates) {
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
    RelayLoadTable.View view = table.view(query);
    List<Explanation> explanations = new ArrayList<>();
    for (int i = 0; i < query.targets().size(); i++) {
      RelayTarget target = query.targets().get(i);
      RelayLoadTable.Load load = view.load(i);
      List<Exclusion> found = new ArrayList<>();
      for (TargetExclusion rule : exclusions) {
        rule.find(query, target, load).ifPresent(found::add);
      }
      Map<String, Double> millis = new LinkedHashMap<>();
      for (EstimateTerm term : terms) {
        millis.put(term.name(), term.millis(query, target, load));
      }
      explanations.add(new Explanation(target, found, millis));
    }
    return explanations;
  }

  /** Returns when the targets of a request that found none are expected to accept it. */
  public Openings openings(PlacementQuery query, RelayLoadTable table) {
    RelayLoadTable.View view = table.view(query);
    Openings.Builder openings = new Openings.Builder(query, table.permits());
    for (int i = 0; i < query.targets().size() && !openings.isOpen(); i++) {
      RelayTarget target = query.targets().get(i);
      RelayLoadTable.Load load = view.load(i);
      openings.startTarget(target);
      for (TargetExclusion rule : exclusions) {
        rule.find(query, target, load).ifPresent(openings::add);
      }
      openings.endTarget();
    }
    return openings.build();
  }
}

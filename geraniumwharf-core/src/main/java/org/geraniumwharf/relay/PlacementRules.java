package org.geraniumwharf.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * The rules of a {@link RelayPlacement}. Immutable.
 *
 * <pre>{@code
 * PlacementRules rules = PlacementRules.standard("dc-1").with(coldTargets);
 * RelayPlacement placement = RelayPlacement.of(rules);
 * }</pre>
 *
 * @param exclusions rules that keep requests from targets
 * @param terms terms whose sum is the estimated time to the first token
 */
public record PlacementRules(List<TargetExclusion> exclusions, List<EstimateTerm> terms) {

  public PlacementRules {
    exclusions = List.copyOf(exclusions);
    terms = List.copyOf(terms);
  }

  /**
   * Returns the rules that need no configuration.
   *
   * @param dataCentre data centre of the instance
   */
  public static PlacementRules standard(String dataCentre) {
    return new PlacementRules(
        List.of(
            LoadExclusion.TRIED,
            LoadExclusion.CLOSED,
            LoadExclusion.EJECTED,
            new TargetCapacity(),
            LoadExclusion.AT_LIMIT),
        List.of(
            new DistanceTerm(dataCentre),
            LoadTerm.FIRST_TOKEN,
            LoadTerm.BACKLOG,
            LoadTerm.IN_FLIGHT,
            LoadTerm.MEMORY,
            LoadTerm.JITTER));
  }

  /**
   * Returns the rules of an instance whose load table {@linkplain RelayLoadTable#startLearning
   * learns} speeds and costs.
   *
   * @param dataCentre data centre of the instance
   */
  public static PlacementRules learned(String dataCentre) {
    return new PlacementRules(
        List.of(
            LoadExclusion.TRIED,
            LoadExclusion.CLOSED,
            LoadExclusion.EJECTED,
            new LearnedCapacity(),
            LoadExclusion.AT_LIMIT),
        List.of(
            new DistanceTerm(dataCentre),
            LoadTerm.FIRST_TOKEN,
            LoadTerm.BACKLOG,
            LearnedTerm.IN_FLIGHT,
            LoadTerm.MEMORY,
            LearnedTerm.SLOWDOWN,
            LearnedTerm.PLAIN));
  }

  /** Returns these rules with one more exclusion. */
  public PlacementRules with(TargetExclusion exclusion) {
    List<TargetExclusion> more = new ArrayList<>(exclusions);
    more.add(exclusion);
    return new PlacementRules(more, terms);
  }

  /** Returns these rules with one more term. */
  public PlacementRules with(EstimateTerm term) {
    List<EstimateTerm> more = new ArrayList<>(terms);
    more.add(term);
    return new PlacementRules(exclusions, more);
  }

  /**
   * Returns these rules with a limit to the time within which requests may begin. All terms must
   * have been added before.
   */
  public PlacementRules withLimit(BeginLimit limit) {
    return with(new BeginExclusion(limit, terms));
  }
}

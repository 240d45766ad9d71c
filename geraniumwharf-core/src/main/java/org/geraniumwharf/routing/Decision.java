package org.geraniumwharf.routing;

import java.util.List;
import org.geraniumwharf.schema.operators.CandidateTerms;

/**
 * A routing decision and its reasons.
 *
 * @param chosen target to dispatch to
 * @param candidates every candidate, cheapest first
 */
public record Decision(RoutableTarget chosen, List<CandidateTerms> candidates) {

  public Decision {
    candidates = List.copyOf(candidates);
  }

  public static Decision of(RoutableTarget chosen, List<CandidateTerms> candidates) {
    return new Decision(chosen, candidates);
  }
}

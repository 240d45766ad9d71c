package org.geraniumwharf.relay;

import java.util.Optional;

/**
 * A rule that keeps requests from targets. Implementations are pure and cheap: a decision applies
 * each rule to each target of a service.
 */
public interface TargetExclusion {

  /** Returns why a target currently gets no request; empty if this rule does not exclude it. */
  Optional<Exclusion> find(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load);
}

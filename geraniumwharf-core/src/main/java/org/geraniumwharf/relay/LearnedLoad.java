package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.Optional;

/**
 * What an instance has learned of a target, for one decision.
 *
 * @param own requests of this instance at the target
 * @param others requests of the other instances that are expected at the target now
 * @param slowdown factor by which the target is slower than others of its service
 * @param fullUntil time until which a target that refused a request is expected to be full
 */
record LearnedLoad(int own, double others, double slowdown, Instant fullUntil) {

  static final LearnedLoad NONE = new LearnedLoad(0, 0, 1, Instant.MIN);

  /** Returns why a plain target that refused a request a moment ago gets none. */
  Optional<Exclusion> refusal(Instant now) {
    return now.isBefore(fullUntil)
        ? Exclusion.until(Exclusion.Reason.SLOTS_OCCUPIED, fullUntil)
        : Optional.empty();
  }
}

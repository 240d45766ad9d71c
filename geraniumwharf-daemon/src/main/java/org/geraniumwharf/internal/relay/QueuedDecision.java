package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;

/**
 * The last decision about a queued request, which found no target. Tells whether another decision
 * may find one, so that a long queue does not take the processor time of the requests that can be
 * served.
 *
 * @param at time of the decision
 * @param changesAt time before which an exclusion ends only if something changes
 * @param changes number of changes of the reported load, the view and the permits until then
 * @param ends number of requests of this instance that had ended until then
 */
record QueuedDecision(Instant at, Instant changesAt, long changes, long ends) {

  /**
   * Time after which a request is decided again because others have ended. Their end wakes the
   * first ones of the queue at once.
   */
  private static final Duration ENDS_INTERVAL = Duration.ofMillis(240);

  /**
   * Returns whether another decision may have another result.
   *
   * @param changesNow number of changes until now
   * @param endsNow number of ended requests until now
   */
  boolean mayDiffer(Instant now, long changesNow, long endsNow) {
    return changesNow != changes
        || !now.isBefore(changesAt)
        || (endsNow != ends && !now.isBefore(at.plus(ENDS_INTERVAL)));
  }
}

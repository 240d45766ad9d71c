package org.geraniumwharf.limit;

import java.time.Instant;

/**
 * The limit of one process of a target.
 *
 * @param target instance id of the target
 * @param incarnation incarnation of the process
 * @param since time from which the limit is certain to be in force
 */
public record TargetLimit(String target, long incarnation, RequestLimit limit, Instant since) {

  /** Returns the limit in requests a second; only for one that is present. */
  double requestsPerSecond() {
    return limit.requestsPerSecond().orElseThrow();
  }
}

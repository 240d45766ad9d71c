package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which control instances cannot be accepting changes behind this daemon's back: those it hears and
 * whose view a leader has confirmed, and those whose process is certainly not running because their
 * address refuses connections.
 */
final class ControlReachability {

  private final int instances;
  private final Map<String, Instant> accountedAt = new HashMap<>();

  ControlReachability(int instances) {
    this.instances = instances;
  }

  synchronized void accountedFor(String name, Instant now) {
    accountedAt.put(name, now);
  }

  /**
   * Records that an instance runs, but may lack what was accepted before its start. That it refused
   * connections before no longer tells anything.
   */
  synchronized void heardUnconfirmed(String name) {
    accountedAt.remove(name);
  }

  /**
   * Tells whether the instances that are not accounted for are too few to be a quorum, so that
   * nothing newer can have been accepted.
   */
  synchronized boolean isQuorumElsewhereImpossible(Duration window, Instant now) {
    Set<Map.Entry<String, Instant>> entries = accountedAt.entrySet();
    long accounted =
        entries.stream().filter(entry -> now.isBefore(entry.getValue().plus(window))).count();
    int quorum = instances / 2 + 1;
    return instances - accounted < quorum;
  }
}

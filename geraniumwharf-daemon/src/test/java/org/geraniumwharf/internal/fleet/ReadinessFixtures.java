package org.geraniumwharf.internal.fleet;

import java.time.Duration;

/** Readiness for tests of other packages. */
public final class ReadinessFixtures {

  private ReadinessFixtures() {}

  /** Returns the readiness of an instance that has not received a view. */
  public static Readiness withoutView(FleetViewHolder holder) {
    return Readiness.create(holder, new ControlReachability(1), Duration.ofSeconds(1));
  }
}

package org.geraniumwharf.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.geraniumwharf.schema.objects.Deployment;

/**
 * Computes the replicas that demand requires. Hysteresis keeps short swings of demand from moving
 * weights: replicas are added only after demand has required them without interruption, and removed
 * only after a much longer time. Not thread-safe.
 */
public final class ReplicaDemand {

  /** Share of an engine's slots that should be in use. */
  private static final double TARGET_SLOT_UTILISATION = 0.7;

  private static final Duration SCALE_UP_DELAY = Duration.ofSeconds(10);
  private static final Duration SCALE_DOWN_DELAY = Duration.ofMinutes(5);

  private final Map<String, Trend> trends = new HashMap<>();

  private ReplicaDemand() {}

  public static ReplicaDemand create() {
    return new ReplicaDemand();
  }

  /**
   * Records the demand of a deployment and returns the replicas that it requires, within the bounds
   * of the deployment.
   *
   * @param inFlight requests in flight or queued over all daemons
   * @param slots requests that one engine runs at once
   */
  public int desiredReplicas(Deployment deployment, double inFlight, int slots, Instant now) {
    int needed = (int) Math.ceil(inFlight / (slots * TARGET_SLOT_UTILISATION));
    Trend trend =
        trends
            .getOrDefault(deployment.name(), new Trend(deployment.minReplicas(), now, now))
            .withObservation(needed, now);
    trends.put(deployment.name(), trend);
    return Math.max(deployment.minReplicas(), Math.min(trend.desired(), deployment.maxReplicas()));
  }

  /**
   * Demand of one deployment over time.
   *
   * @param lastNotAbove last time at which demand did not require more
   * @param lastNotBelow last time at which demand did not allow fewer
   */
  private record Trend(int desired, Instant lastNotAbove, Instant lastNotBelow) {

    Trend withObservation(int needed, Instant now) {
      Instant above = needed > desired ? lastNotAbove : now;
      Instant below = needed < desired ? lastNotBelow : now;
      if (!now.isBefore(above.plus(SCALE_UP_DELAY))
          || !now.isBefore(below.plus(SCALE_DOWN_DELAY))) {
        return new Trend(needed, now, now);
      }
      return new Trend(desired, above, below);
    }
  }
}

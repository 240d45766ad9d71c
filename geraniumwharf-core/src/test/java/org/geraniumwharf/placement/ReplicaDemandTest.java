package org.geraniumwharf.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.Deployment;
import org.junit.jupiter.api.Test;

final class ReplicaDemandTest {

  private static final int SLOTS = 10;
  private static final Instant START = Instant.EPOCH;
  private static final Deployment DEPLOYMENT =
      Deployment.of("drafting", "v1", List.of(), 1, 4, List.of(), Optional.empty());

  private final ReplicaDemand demand = ReplicaDemand.create();

  @Test
  void should_ignore_a_demand_peak_of_a_few_seconds() {
    desiredReplicas(0, 0);

    int atPeak = desiredReplicas(30, 5);
    int afterwards = desiredReplicas(0, 9);

    assertEquals(1, atPeak);
    assertEquals(1, afterwards);
  }

  @Test
  void should_scale_up_to_the_bound_for_lasting_demand() {
    desiredReplicas(0, 0);
    desiredReplicas(100, 1);

    int desired = desiredReplicas(100, 12);

    assertEquals(4, desired);
  }

  @Test
  void should_scale_down_only_after_minutes() {
    desiredReplicas(0, 0);
    desiredReplicas(20, 1);
    desiredReplicas(20, 12);

    int soon = desiredReplicas(0, 60);
    int late = desiredReplicas(0, 60 + 301);

    assertEquals(3, soon);
    assertEquals(1, late);
  }

  private int desiredReplicas(double inFlight, long seconds) {
    return demand.desiredReplicas(
        DEPLOYMENT, inFlight, SLOTS, START.plus(Duration.ofSeconds(seconds)));
  }
}

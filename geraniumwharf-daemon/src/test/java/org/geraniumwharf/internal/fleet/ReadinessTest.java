package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;
import org.junit.jupiter.api.Test;

class ReadinessTest {

  private static final Instant NOW = Instant.parse("2026-12-05T10:00:00Z");

  private final Readiness readiness =
      Readiness.create(
          FleetFixtures.holder(List.of(), List.of(), NOW),
          new ControlReachability(1),
          Duration.ofHours(1));

  /** Guards against intake that goes on past the notice time while the draining thread is late. */
  @Test
  void should_refuse_requests_from_the_given_time_on() {
    readiness.confirmed(1);

    readiness.refuseFrom(NOW.plusSeconds(2));

    assertDoesNotThrow(() -> readiness.check(NOW.plusMillis(1999)));
    ServingException refused =
        assertThrows(ServingException.class, () -> readiness.check(NOW.plusSeconds(2)));
    assertEquals(ErrorKind.SHUTTING_DOWN, refused.kind());
  }

  /**
   * Guards against requests that are served by a view which misses a change that was confirmed
   * right before a loss of all control, while the processes run again and confirm nothing.
   */
  @Test
  void should_refuse_requests_while_most_control_instances_run_again_and_confirm_nothing() {
    ControlReachability reachability = new ControlReachability(3);
    Readiness afterLoss =
        Readiness.create(
            FleetFixtures.holder(List.of(), List.of(), NOW), reachability, Duration.ofSeconds(5));
    afterLoss.confirmed(1);
    Instant refused = NOW.plusSeconds(6);
    List.of("c-1", "c-2", "c-3").forEach(name -> reachability.accountedFor(name, refused));
    boolean isServingWithoutControl = afterLoss.isReady(refused.plusSeconds(1));

    reachability.heardUnconfirmed("c-1");
    boolean isServingWithOne = afterLoss.isReady(refused.plusSeconds(1));
    reachability.heardUnconfirmed("c-2");

    assertTrue(isServingWithoutControl);
    assertTrue(isServingWithOne);
    assertFalse(afterLoss.isReady(refused.plusSeconds(1)));
  }
}

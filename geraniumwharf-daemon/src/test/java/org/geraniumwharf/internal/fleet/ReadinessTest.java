package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
}

package org.geraniumwharf.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.OrganisationLimits;
import org.junit.jupiter.api.Test;

class OrganisationLimiterTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final Organisation ORGANISATION =
      Organisation.of(
          "one",
          List.of(),
          List.of(),
          1,
          Optional.of(OrganisationLimits.of(100, 100_000, 1000)),
          List.of(),
          Optional.empty(),
          false,
          List.of());

  private final OrganisationLimiter limiter = OrganisationLimiter.create();

  @Test
  void should_admit_what_the_request_rate_allows() {
    assertEquals(250, admittedOver(2, 1), 3);
  }

  @Test
  void should_use_an_equal_share_when_the_leader_is_unresponsive() {
    limiter.applyShares(4, List.of(), NOW.minusSeconds(60));

    assertEquals(62, admittedOver(2, 1), 3);
  }

  @Test
  void should_return_the_time_until_enough_tokens_are_available() throws ServingException {
    limiter.acquire(ORGANISATION, 50_000, NOW);

    ServingException error =
        assertThrows(ServingException.class, () -> limiter.acquire(ORGANISATION, 50_000, NOW));

    assertEquals(ErrorKind.LIMIT_EXCEEDED, error.kind());
    assertEquals(500, error.retryAfter().orElseThrow().toMillis());
  }

  @Test
  void should_admit_a_request_larger_than_the_burst_and_delay_the_next() throws ServingException {
    limiter.acquire(ORGANISATION, 250_000, NOW);

    assertThrows(
        ServingException.class, () -> limiter.acquire(ORGANISATION, 1, NOW.plusMillis(1900)));
    limiter.acquire(ORGANISATION, 1, NOW.plusMillis(2100));
  }

  @Test
  void should_limit_requests_in_flight() throws ServingException {
    Organisation narrow =
        ORGANISATION.withLimits(Optional.of(OrganisationLimits.of(100, 100_000, 1)));
    limiter.acquire(narrow, 1, NOW);

    ServingException error =
        assertThrows(ServingException.class, () -> limiter.acquire(narrow, 1, NOW));
    limiter.release(narrow);
    limiter.acquire(narrow, 1, NOW);

    assertTrue(error.getMessage().contains("concurrency"));
  }

  /** Offers 1000 requests per second and returns the number admitted, with the initial burst. */
  private int admittedOver(int seconds, int tokens) {
    int admitted = 0;
    for (int millis = 0; millis < seconds * 1000; millis++) {
      try {
        limiter.acquire(ORGANISATION, tokens, NOW.plusMillis(millis));
        limiter.release(ORGANISATION);
        admitted++;
      } catch (ServingException e) {
        assertEquals(ErrorKind.LIMIT_EXCEEDED, e.kind());
      }
    }
    return admitted;
  }
}

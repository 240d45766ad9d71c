package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HoldPolicyTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final HoldPolicy POLICY = HoldPolicy.of(3, START);

  @Test
  void should_hold_a_request_until_its_caller_gives_up() {
    HoldPolicy.Decision decision = POLICY.decide(waiting(3000), 0, 0, 10, START);

    assertEquals(Optional.of(START.plusMillis(2900)), decision.heldUntil());
  }

  /** Guards against a caller that waits for nothing and then has no time for its second call. */
  @Test
  void should_refuse_a_request_that_cannot_be_in_time() {
    HoldPolicy.Decision decision = POLICY.decide(waiting(1500), 0, 0, 10, START.plusMillis(100));

    assertEquals(new HoldPolicy.Decision(Optional.empty(), Duration.ofMillis(1900)), decision);
  }

  @Test
  void should_expect_the_view_soon_when_it_is_overdue() {
    HoldPolicy.Decision decision = POLICY.decide(waiting(1500), 0, 0, 10, START.plusSeconds(9));

    assertEquals(Duration.ofMillis(300), decision.retryAfter());
  }

  /** Guards against memory that fills while no view comes. */
  @Test
  void should_bound_the_requests_and_their_bytes() {
    assertEquals(Optional.empty(), POLICY.decide(waiting(9000), 3, 0, 10, START).heldUntil());
    assertEquals(
        Optional.empty(),
        POLICY.decide(waiting(9000), 1, HoldPolicy.MAX_BYTES, 1, START).heldUntil());
  }

  @Test
  void should_hold_nothing_where_the_settings_name_no_number() {
    assertEquals(
        Optional.empty(), HoldPolicy.none().decide(waiting(9000), 0, 0, 1, START).heldUntil());
  }

  /** Guards against callers that take the processor time which the first view needs. */
  @Test
  void should_accept_no_connections_until_the_first_view() {
    assertFalse(POLICY.mayAccept(true, START, START.plusMillis(899)));
    assertTrue(POLICY.mayAccept(false, START, START.plusMillis(1)));
  }

  /** Guards against callers that are not even refused while no view comes. */
  @Test
  void should_accept_connections_after_a_while_without_a_view() {
    assertTrue(POLICY.mayAccept(true, START, START.plusMillis(900)));
    assertTrue(HoldPolicy.none().mayAccept(true, START, START));
  }

  private static RelayRequest waiting(long timeoutMillis) {
    return new RelayRequest(
        "r-1",
        "POST",
        "h",
        "/",
        Optional.empty(),
        Optional.of(Duration.ofMillis(timeoutMillis)),
        Optional.empty(),
        List.of(),
        0,
        0,
        Optional.empty(),
        START);
  }
}

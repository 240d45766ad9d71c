package org.geraniumwharf.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.error.ServingException;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);

  @Test
  void should_dispatch_at_once_up_to_the_maximum_in_flight() throws ServingException {
    AdmissionControl control = AdmissionControl.of(2, 10);

    assertTrue(control.offer(request("a", "one", 10), NOW));
    assertTrue(control.offer(request("b", "one", 10), NOW));
    assertFalse(control.offer(request("c", "one", 10), NOW));
  }

  @Test
  void should_reject_as_not_run_when_the_queue_is_full() throws ServingException {
    AdmissionControl control = AdmissionControl.of(1, 0);
    control.offer(request("a", "one", 10), NOW);

    ServingException error =
        assertThrows(ServingException.class, () -> control.offer(request("b", "one", 10), NOW));

    assertEquals(ErrorKind.OVERLOADED, error.kind());
    assertEquals(Execution.NOT_RUN, error.execution());
    assertTrue(error.retryAfter().isPresent());
  }

  @Test
  void should_reject_a_request_whose_expected_wait_exceeds_its_deadline() throws ServingException {
    AdmissionControl control = AdmissionControl.of(1, 100);
    control.offer(request("a", "one", 1000), NOW);
    control.complete("a", NOW.plusSeconds(1));
    control.offer(request("b", "one", 1000), NOW.plusSeconds(1));
    control.offer(request("c", "one", 20_000), NOW.plusSeconds(1));

    ServingException error =
        assertThrows(
            ServingException.class,
            () -> control.offer(request("d", "one", 10), NOW.plusSeconds(1)));

    assertEquals(ErrorKind.OVERLOADED, error.kind());
  }

  @Test
  void should_dispatch_organisations_in_proportion_to_their_weights() throws ServingException {
    AdmissionControl control = AdmissionControl.of(1, 100);
    control.offer(request("first", "one", 1), NOW);
    for (int i = 0; i < 20; i++) {
      control.offer(QueuedRequest.of("one-" + i, "one", 2, 100, NOW, NOW.plusSeconds(60)), NOW);
      control.offer(QueuedRequest.of("two-" + i, "two", 1, 100, NOW, NOW.plusSeconds(60)), NOW);
    }

    List<String> order = drain(control, "first", 15);

    assertEquals(10, order.stream().filter(id -> id.startsWith("one")).count());
  }

  @Test
  void should_dispatch_short_requests_before_a_long_one_until_it_has_aged()
      throws ServingException {
    AdmissionControl control = AdmissionControl.of(1, 100);
    control.offer(request("first", "one", 1), NOW);
    control.offer(request("long", "one", 4000), NOW);
    control.offer(request("short", "one", 10), NOW);
    control.complete("first", NOW);

    Optional<QueuedRequest> early = control.dispatchNext(NOW);
    control.complete("short", NOW);
    control.offer(request("late-short", "one", 10), NOW);
    QueuedRequest late =
        QueuedRequest.of("latest", "one", 1, 10, NOW.plusSeconds(5), NOW.plusSeconds(60));
    control.offer(late, NOW.plusSeconds(5));

    assertEquals("short", early.orElseThrow().id());
    assertEquals("late-short", next(control, NOW.plusSeconds(5)));
    control.complete("late-short", NOW.plusSeconds(5));
    assertEquals("long", next(control, NOW.plusSeconds(5)));
  }

  @Test
  void should_reserve_half_of_the_slots_for_short_requests() throws ServingException {
    AdmissionControl control = AdmissionControl.of(4, 100);

    assertTrue(control.offer(request("long-1", "one", 10_000), NOW));
    assertTrue(control.offer(request("long-2", "one", 10_000), NOW));
    assertFalse(control.offer(request("long-3", "one", 10_000), NOW));
    assertFalse(control.offer(request("short", "one", 10), NOW));

    assertEquals("short", next(control, NOW));
  }

  private static List<String> drain(AdmissionControl control, String running, int count) {
    List<String> order = new ArrayList<>();
    String current = running;
    for (int i = 0; i < count; i++) {
      control.complete(current, NOW);
      current = next(control, NOW);
      order.add(current);
    }
    return order;
  }

  private static String next(AdmissionControl control, Instant now) {
    return control.dispatchNext(now).orElseThrow().id();
  }

  private static QueuedRequest request(String id, String organisation, double cost) {
    return QueuedRequest.of(id, organisation, 1, cost, NOW, NOW.plusSeconds(15));
  }
}

package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RelayQueueTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final Instant DEADLINE = NOW.plusSeconds(10);

  private final RelayQueue<String> queue = new RelayQueue<>();

  @Test
  void should_let_urgent_requests_go_first_and_equals_in_order() {
    queue.offer("long", 2, 10, DEADLINE, NOW);
    queue.offer("first", 0, 10, DEADLINE, NOW);
    queue.offer("second", 0, 10, DEADLINE, NOW);

    assertEquals(
        "[first, second, long]",
        queue.inOrder().stream().map(RelayQueue.Waiting::item).toList().toString());
  }

  @Test
  void should_refuse_at_once_when_the_turn_would_come_too_late() {
    int admitted = 0;
    while (queue.offer("request", 1, 10, DEADLINE, NOW).place().isPresent()) {
      admitted++;
    }

    RelayQueue.Admission<String> refused = queue.offer("request", 1, 10, DEADLINE, NOW);

    assertTrue(admitted > 1);
    assertTrue(refused.place().isEmpty());
    assertTrue(refused.expectedWait().compareTo(Duration.ofMillis(1500)) > 0);
  }

  @Test
  void should_count_only_what_is_more_urgent_as_ahead() {
    for (int i = 0; i < 20; i++) {
      queue.offer("long", 2, 10, DEADLINE, NOW);
    }

    RelayQueue.Admission<String> urgent = queue.offer("short", 0, 10, DEADLINE, NOW);

    assertTrue(urgent.expectedWait().compareTo(Duration.ofMillis(100)) < 0);
  }

  @Test
  void should_admit_more_when_places_come_free_faster() {
    for (int i = 1; i <= 60; i++) {
      queue.ended(NOW.plusMillis(i));
    }

    RelayQueue.Admission<String> admission = queue.offer("request", 1, 10, DEADLINE, NOW);

    assertTrue(admission.expectedWait().compareTo(Duration.ofMillis(10)) < 0);
  }

  @Test
  void should_give_up_before_most_of_the_callers_time_is_gone() {
    RelayQueue.Admission<String> admission = queue.offer("request", 1, 10, NOW.plusSeconds(2), NOW);

    assertEquals(NOW.plusMillis(500), admission.place().orElseThrow().givesUpAt());
  }

  @Test
  void should_not_hold_up_small_requests_behind_large_ones() {
    queue.offer("large", 0, 5000, DEADLINE, NOW);

    assertFalse(queue.mustWaitBehind(1, 100));
    assertTrue(queue.mustWaitBehind(1, 5000));
    assertFalse(queue.mustWaitBehind(0, 4000));
  }

  @Test
  void should_forget_a_request_that_left() {
    RelayQueue.Waiting<String> place =
        queue.offer("request", 1, 10, DEADLINE, NOW).place().orElseThrow();

    assertTrue(queue.remove(place));
    assertFalse(queue.remove(place));
    assertEquals(0, queue.size());
  }
}

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

  private final RelayQueue<String> queue = RelayQueue.create();

  @Test
  void should_order_requests_by_priority_and_then_by_arrival() {
    queue.offer("long", 2, 10, DEADLINE, NOW);
    queue.offer("first", 0, 10, DEADLINE, NOW);
    queue.offer("second", 0, 10, DEADLINE, NOW);

    assertEquals(
        "[first, second, long]",
        queue.first(3, NOW).stream().map(RelayQueue.Entry::item).toList().toString());
  }

  @Test
  void should_reject_at_once_when_the_expected_wait_is_too_long() {
    int admitted = 0;
    while (queue.offer("request", 1, 10, DEADLINE, NOW).entry().isPresent()) {
      admitted++;
    }

    RelayQueue.Admission<String> rejected = queue.offer("request", 1, 10, DEADLINE, NOW);

    assertTrue(admitted > 1);
    assertTrue(rejected.entry().isEmpty());
    assertTrue(rejected.expectedWait().compareTo(Duration.ofMillis(1500)) > 0);
  }

  @Test
  void should_expect_no_wait_behind_less_urgent_requests() {
    for (int i = 0; i < 20; i++) {
      queue.offer("long", 2, 10, DEADLINE, NOW);
    }

    RelayQueue.Admission<String> urgent = queue.offer("short", 0, 10, DEADLINE, NOW);

    assertTrue(urgent.expectedWait().compareTo(Duration.ofMillis(100)) < 0);
  }

  @Test
  void should_expect_a_shorter_wait_when_requests_end_faster() {
    for (int i = 1; i <= 60; i++) {
      queue.recordEnded(NOW.plusMillis(i));
    }

    RelayQueue.Admission<String> admission = queue.offer("request", 1, 10, DEADLINE, NOW);

    assertTrue(admission.expectedWait().compareTo(Duration.ofMillis(10)) < 0);
  }

  @Test
  void should_wait_at_most_a_quarter_of_the_time_of_the_caller() {
    RelayQueue.Admission<String> admission = queue.offer("request", 1, 10, NOW.plusSeconds(2), NOW);

    assertEquals(NOW.plusMillis(500), admission.entry().orElseThrow().expiresAt());
  }

  @Test
  void should_not_hold_up_small_requests_behind_large_ones() {
    queue.offer("large", 0, 5000, DEADLINE, NOW);

    assertFalse(queue.mustQueue(1, 100));
    assertTrue(queue.mustQueue(1, 5000));
    assertFalse(queue.mustQueue(0, 4000));
  }

  @Test
  void should_remove_an_entry_only_once() {
    RelayQueue.Entry<String> entry =
        queue.offer("request", 1, 10, DEADLINE, NOW).entry().orElseThrow();

    assertTrue(queue.remove(entry));
    assertFalse(queue.remove(entry));
    assertEquals(0, queue.size());
  }
}

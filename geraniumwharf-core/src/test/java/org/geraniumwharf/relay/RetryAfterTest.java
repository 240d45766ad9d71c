package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryAfterTest {

  private static final Duration EXPECTED = Duration.ofMillis(500);
  private static final Duration REMAINING = Duration.ofSeconds(8);

  @Test
  void should_spread_retries_of_a_burst_between_once_and_twice_the_expected_wait() {
    Map<Long, Long> retriesByTenth =
        IntStream.range(0, 1000)
            .mapToObj(i -> RetryAfter.jitteredDelay("request-" + i, EXPECTED, REMAINING))
            .collect(Collectors.groupingBy(wait -> wait.toMillis() / 50, Collectors.counting()));

    assertEquals(10, retriesByTenth.keySet().stream().filter(tenth -> tenth >= 10).count());
    assertTrue(
        retriesByTenth.values().stream().allMatch(count -> count < 200),
        "more than a fifth return in one tenth of the time: " + retriesByTenth);
  }

  @Test
  void should_give_the_same_request_the_same_delay() {
    assertEquals(
        RetryAfter.jitteredDelay("request", EXPECTED, REMAINING),
        RetryAfter.jitteredDelay("request", EXPECTED, REMAINING));
  }

  @Test
  void should_stay_within_a_third_of_the_remaining_time() {
    Duration remaining = Duration.ofMillis(900);

    assertEquals(Duration.ofMillis(300), RetryAfter.jitteredDelay("request", EXPECTED, remaining));
  }

  /** Guards against callers of a long backlog that all return at a third of their time. */
  @Test
  void should_spread_the_delays_where_the_time_of_the_callers_bounds_them() {
    Duration remaining = Duration.ofMillis(900);
    List<Long> delays =
        IntStream.range(0, 200)
            .mapToObj(i -> "request-" + i)
            .map(id -> RetryAfter.spreadDelay(id, Duration.ofSeconds(9), remaining, Duration.ZERO))
            .map(Duration::toMillis)
            .toList();

    assertTrue(delays.stream().allMatch(delay -> delay >= 150 && delay <= 300));
    assertTrue(delays.stream().filter(delay -> delay < 225).count() > 60);
    assertTrue(delays.stream().filter(delay -> delay >= 225).count() > 60);
  }

  @Test
  void should_leave_the_caller_the_time_of_the_service() {
    Duration remaining = Duration.ofMillis(300);
    Duration service = Duration.ofMillis(280);

    Duration delay = RetryAfter.spreadDelay("id", Duration.ofSeconds(9), remaining, service);

    assertTrue(delay.toMillis() <= 20, delay.toString());
    assertEquals(
        Duration.ZERO,
        RetryAfter.spreadDelay("id", Duration.ofSeconds(9), Duration.ofMillis(-5), service));
  }
}

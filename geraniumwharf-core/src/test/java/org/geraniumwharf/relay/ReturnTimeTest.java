package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ReturnTimeTest {

  private static final Duration EXPECTED = Duration.ofMillis(500);
  private static final Duration LEFT = Duration.ofSeconds(8);

  @Test
  void should_spread_the_refusals_of_a_burst_over_the_time_in_which_room_is_expected() {
    Map<Long, Long> returnsByTenth =
        IntStream.range(0, 1000)
            .mapToObj(i -> ReturnTime.after("request-" + i, EXPECTED, LEFT))
            .collect(Collectors.groupingBy(wait -> wait.toMillis() / 50, Collectors.counting()));

    assertEquals(10, returnsByTenth.keySet().stream().filter(tenth -> tenth >= 10).count());
    assertTrue(
        returnsByTenth.values().stream().allMatch(count -> count < 200),
        "more than a fifth return in one tenth of the time: " + returnsByTenth);
  }

  @Test
  void should_give_the_same_request_the_same_time() {
    assertEquals(
        ReturnTime.after("request", EXPECTED, LEFT), ReturnTime.after("request", EXPECTED, LEFT));
  }

  @Test
  void should_stay_within_a_third_of_the_time_left() {
    Duration left = Duration.ofMillis(900);

    assertEquals(Duration.ofMillis(300), ReturnTime.after("request", EXPECTED, left));
  }
}

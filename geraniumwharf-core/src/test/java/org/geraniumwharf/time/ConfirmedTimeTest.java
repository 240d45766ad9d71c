package org.geraniumwharf.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfirmedTimeTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

  @Test
  void should_count_one_stretch_over_confirmations_without_a_gap() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW).confirmed(NOW.plusSeconds(2)).confirmed(NOW.plusSeconds(3));

    assertEquals(Duration.ofSeconds(4), time.inStretchSince(NOW, NOW.plusSeconds(4)));
    assertEquals(Duration.ofSeconds(4), time.total(NOW.plusSeconds(4)));
  }

  @Test
  void should_count_from_a_later_time() {
    ConfirmedTime time = ConfirmedTime.startingAt(NOW).confirmed(NOW.plusSeconds(2));

    Duration counted = time.inStretchSince(NOW.plusSeconds(1), NOW.plusSeconds(3));

    assertEquals(Duration.ofSeconds(2), counted);
  }

  @Test
  void should_stop_counting_when_confirmations_stop() {
    ConfirmedTime time = ConfirmedTime.startingAt(NOW);

    assertEquals(ConfirmedTime.MAX_GAP, time.total(NOW.plusSeconds(60)));
  }

  @Test
  void should_begin_a_stretch_after_a_gap_and_keep_the_earlier_ones_in_the_total() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW)
            .confirmed(NOW.plusSeconds(1))
            .confirmed(NOW.plusSeconds(11))
            .confirmed(NOW.plusSeconds(12));

    assertEquals(Duration.ofSeconds(1), time.inStretchSince(NOW, NOW.plusSeconds(12)));
    assertEquals(
        Duration.ofSeconds(2).plus(ConfirmedTime.MAX_GAP), time.total(NOW.plusSeconds(12)));
  }

  /** Control lost at 1 s, started at 2 s, expected from 5 s on, confirms again at 11 s. */
  @Test
  void should_count_a_gap_from_the_time_at_which_confirmations_were_expected() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW)
            .confirmed(NOW.plusSeconds(1))
            .confirmed(NOW.plusSeconds(11), Optional.of(NOW.plusSeconds(5)));

    assertEquals(Duration.ofSeconds(6), time.inStretchSince(NOW, NOW.plusSeconds(11)));
    assertEquals(
        Duration.ofSeconds(7).plus(ConfirmedTime.MAX_GAP), time.total(NOW.plusSeconds(11)));
  }

  @Test
  void should_count_a_gap_that_comes_after_that_time_as_a_whole() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW)
            .confirmed(NOW.plusSeconds(6), Optional.of(NOW.plusSeconds(5)))
            .confirmed(NOW.plusSeconds(10), Optional.of(NOW.plusSeconds(5)));

    assertEquals(Duration.ofSeconds(5), time.inStretchSince(NOW, NOW.plusSeconds(10)));
    assertEquals(
        Duration.ofSeconds(5).plus(ConfirmedTime.MAX_GAP), time.total(NOW.plusSeconds(10)));
  }

  @Test
  void should_not_count_what_lies_before_a_confirmation_that_came_earlier_than_expected() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW)
            .confirmed(NOW.plusSeconds(4), Optional.of(NOW.plusSeconds(5)));

    assertEquals(Duration.ZERO, time.inStretchSince(NOW, NOW.plusSeconds(4)));
    assertEquals(ConfirmedTime.MAX_GAP, time.total(NOW.plusSeconds(4)));
  }

  @Test
  void should_ignore_a_confirmation_before_the_last() {
    ConfirmedTime time = ConfirmedTime.startingAt(NOW).confirmed(NOW.minusSeconds(5));

    assertEquals(NOW, time.last());
    assertEquals(Duration.ofSeconds(1), time.total(NOW.plusSeconds(1)));
  }

  /** Control lost at 1 s, started at 2 s, due from 5 s on, without a leader until 9 s. */
  @Test
  void should_count_the_time_in_which_a_confirmation_was_due() {
    ConfirmedTime time = ConfirmedTime.startingAt(NOW).confirmed(NOW.plusSeconds(1));

    for (int second = 4; second <= 9; second++) {
      time = time.due(NOW.plusSeconds(second), NOW.plusSeconds(5));
    }

    assertEquals(Duration.ofSeconds(4), time.inStretchSince(NOW, NOW.plusSeconds(9)));
    assertEquals(NOW.plusSeconds(1), time.last());
    assertEquals(Duration.ofSeconds(1), time.totalAtLast());
  }

  @Test
  void should_go_on_with_the_stretch_when_a_confirmation_that_was_due_comes() {
    ConfirmedTime time =
        ConfirmedTime.startingAt(NOW)
            .due(NOW.plusSeconds(7), NOW.plusSeconds(5))
            .confirmed(NOW.plusSeconds(8), Optional.of(NOW.plusSeconds(5)));

    assertEquals(Duration.ofSeconds(3), time.inStretchSince(NOW, NOW.plusSeconds(8)));
    assertEquals(NOW.plusSeconds(8), time.last());
    assertEquals(time.total(NOW.plusSeconds(8)), time.totalAtLast());
  }
}

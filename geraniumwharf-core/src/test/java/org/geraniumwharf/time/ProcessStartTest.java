package org.geraniumwharf.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ProcessStartTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

  @Test
  void should_expect_a_process_to_serve_some_seconds_after_its_start() {
    assertEquals(Optional.of(NOW.plusSeconds(3)), ProcessStart.servingSince(NOW, NOW));
    assertEquals(
        Optional.of(NOW.plusSeconds(3)), ProcessStart.servingSince(NOW, NOW.plusSeconds(29)));
  }

  @Test
  void should_expect_nothing_of_a_process_that_was_started_long_ago() {
    assertEquals(Optional.empty(), ProcessStart.servingSince(NOW, NOW.plusSeconds(30)));
  }

  @Test
  void should_tell_a_start_in_the_past() {
    assertFalse(ProcessStart.asOf(NOW).isAfter(NOW));
  }
}

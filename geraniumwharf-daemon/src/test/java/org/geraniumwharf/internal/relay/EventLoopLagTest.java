package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {

  private Instant now = Instant.ofEpochSecond(1000);
  private final EventLoopLag delay = EventLoopLag.unscheduled(() -> now);

  @Test
  void should_be_zero_while_the_loop_keeps_up() {
    pass(50);
    delay.recordRun(now);
    pass(30);

    assertEquals(Duration.ZERO, delay.current());
  }

  @Test
  void should_grow_while_the_loop_works_on_one_batch() {
    pass(50 + 600);

    assertEquals(Duration.ofMillis(600), delay.current());
  }

  @Test
  void should_count_for_what_arrived_during_the_batch_and_is_read_after_it() {
    pass(50 + 600);
    delay.recordRun(now);
    pass(1);

    assertEquals(Duration.ofMillis(600), delay.current());
  }

  @Test
  void should_end_once_the_loop_has_caught_up() {
    pass(50 + 600);
    delay.recordRun(now);
    pass(50);
    delay.recordRun(now);

    assertEquals(Duration.ZERO, delay.current());
  }

  private void pass(long millis) {
    now = now.plusMillis(millis);
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {

  private Instant now = Instant.ofEpochSecond(1000);
  private final EventLoopLag lag = EventLoopLag.unscheduled(() -> now);

  @Test
  void should_be_zero_while_the_task_runs_on_time() {
    advanceTime(50);
    lag.recordRun(now);
    advanceTime(30);

    assertEquals(Duration.ZERO, lag.current());
  }

  @Test
  void should_grow_while_the_loop_handles_one_batch() {
    advanceTime(50 + 600);

    assertEquals(Duration.ofMillis(600), lag.current());
  }

  @Test
  void should_apply_to_requests_that_arrived_during_a_batch_and_are_read_after_it() {
    advanceTime(50 + 600);
    lag.recordRun(now);
    advanceTime(1);

    assertEquals(Duration.ofMillis(600), lag.current());
  }

  @Test
  void should_return_to_zero_after_a_run_on_time() {
    advanceTime(50 + 600);
    lag.recordRun(now);
    advanceTime(50);
    lag.recordRun(now);

    assertEquals(Duration.ZERO, lag.current());
  }

  private void advanceTime(long millis) {
    now = now.plusMillis(millis);
  }
}

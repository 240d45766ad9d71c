package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.internal.relay.UnframedEnd.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against a part of a body that is taken for the whole, and against delays of others. */
class UnframedEndTest {

  private static final Instant END = Instant.ofEpochSecond(1000);
  private static final Optional<Instant> BEFORE = Optional.of(END.minusMillis(50));
  private static final int SMALL = 2000;
  private static final int LARGE = 600_000;

  @Test
  void should_not_delay_a_response_to_a_small_request_that_was_written_when_the_head_came() {
    UnframedEnd end = UnframedEnd.of(END, SMALL, true);

    assertEquals(Verdict.COMPLETE, end.decide(false, BEFORE, END));
    assertEquals(Verdict.RESET, end.decide(true, BEFORE, END));
  }

  @Test
  void should_wait_for_a_reset_behind_a_large_request() {
    UnframedEnd end = UnframedEnd.of(END, LARGE, true);
    Instant decided = END.plus(UnframedEnd.RESET_WAIT);

    assertEquals(Verdict.UNDECIDED, end.decide(false, BEFORE, decided.minusMillis(1)));
    assertEquals(Verdict.RESET, end.decide(true, BEFORE, decided.minusMillis(1)));
    assertEquals(Verdict.COMPLETE, end.decide(false, BEFORE, decided));
  }

  @Test
  void should_wait_from_the_time_at_which_the_request_was_written() {
    UnframedEnd end = UnframedEnd.of(END, SMALL, false);
    Instant written = END.plusMillis(70);
    Instant decided = written.plus(UnframedEnd.RESET_WAIT);

    assertEquals(Verdict.UNDECIDED, end.decide(false, Optional.empty(), END.plusMillis(60)));
    assertEquals(
        Verdict.UNDECIDED, end.decide(false, Optional.of(written), decided.minusMillis(1)));
    assertEquals(Verdict.COMPLETE, end.decide(false, Optional.of(written), decided));
  }

  @Test
  void should_give_up_a_request_that_the_target_does_not_take() {
    UnframedEnd end = UnframedEnd.of(END, LARGE, false);
    Duration wait = UnframedEnd.WRITE_WAIT;

    assertEquals(
        Verdict.UNDECIDED, end.decide(false, Optional.empty(), END.plus(wait).minusMillis(1)));
    assertEquals(Verdict.UNSENT, end.decide(false, Optional.empty(), END.plus(wait)));
  }
}

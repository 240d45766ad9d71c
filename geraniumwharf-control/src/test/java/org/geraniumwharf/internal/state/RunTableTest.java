package org.geraniumwharf.internal.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.geraniumwharf.schema.messages.ClaimOutcome;
import org.geraniumwharf.schema.messages.ClaimRunAnswer;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.FinishRunCommand;
import org.geraniumwharf.schema.state.PruneCommand;
import org.geraniumwharf.schema.state.RunAttempt;
import org.geraniumwharf.schema.state.RunKey;
import org.geraniumwharf.schema.state.RunState;
import org.geraniumwharf.schema.state.StoredAnswer;
import org.junit.jupiter.api.Test;

class RunTableTest {

  private static final RunKey RUN = RunKey.of("wanjiru", "bookings", "deposit-1");
  private static final RunAttempt FIRST = RunAttempt.of("first", "entry-1", 100);
  private static final RunAttempt SECOND = RunAttempt.of("second", "entry-2", 200);

  private final RunTable table = new RunTable();

  @Test
  void should_grant_a_run_to_one_attempt() {
    assertEquals(ClaimOutcome.CLAIMED, claim(FIRST, "f"));
    assertEquals(ClaimOutcome.IN_PROGRESS, claim(SECOND, "f"));
  }

  @Test
  void should_repeat_a_claim_whose_answer_was_lost() {
    claim(FIRST, "f");

    assertEquals(ClaimOutcome.CLAIMED, claim(FIRST, "f"));
  }

  @Test
  void should_return_the_stored_answer_to_a_repeat() {
    StoredAnswer answer =
        StoredAnswer.of(200, "text/plain", "booked".getBytes(StandardCharsets.UTF_8), true);
    claim(FIRST, "f");
    finish(FIRST, RunState.COMPLETED, Optional.of(answer));

    ClaimRunAnswer repeat = table.claim(ClaimRunCommand.of(RUN, SECOND, "f", 2));

    assertEquals(ClaimRunAnswer.of(ClaimOutcome.COMPLETED, Optional.of(answer)), repeat);
  }

  @Test
  void should_reject_another_request_with_the_same_key() {
    claim(FIRST, "f");

    assertEquals(ClaimOutcome.FINGERPRINT_MISMATCH, claim(SECOND, "g"));
  }

  @Test
  void should_let_another_attempt_claim_a_released_run() {
    claim(FIRST, "f");
    finish(FIRST, RunState.RELEASED, Optional.empty());

    assertEquals(ClaimOutcome.CLAIMED, claim(SECOND, "f"));
  }

  @Test
  void should_refuse_a_claim_that_arrives_after_its_own_release() {
    finish(FIRST, RunState.RELEASED, Optional.empty());

    assertEquals(ClaimOutcome.RELEASED, claim(FIRST, "f"));
    assertEquals(ClaimOutcome.CLAIMED, claim(SECOND, "f"));
  }

  @Test
  void should_not_let_an_attempt_end_the_run_of_another() {
    finish(FIRST, RunState.RELEASED, Optional.empty());
    claim(SECOND, "f");

    assertEquals(RunState.CLAIMED, finish(FIRST, RunState.COMPLETED, Optional.empty()));
  }

  @Test
  void should_put_runs_of_a_lost_daemon_in_doubt_and_never_grant_them_again() {
    claim(FIRST, "f");

    table.markInDoubt(DoubtRunsCommand.of("entry-1", 101, 5));

    assertEquals(ClaimOutcome.IN_DOUBT, claim(SECOND, "f"));
    assertTrue(table.claimOwners().isEmpty());
  }

  @Test
  void should_keep_claims_of_a_newer_start_of_the_same_daemon() {
    claim(FIRST, "f");

    table.markInDoubt(DoubtRunsCommand.of("entry-1", 100, 5));

    assertEquals(ClaimOutcome.IN_PROGRESS, claim(SECOND, "f"));
  }

  @Test
  void should_let_the_claiming_attempt_finish_a_run_in_doubt() {
    claim(FIRST, "f");
    table.markInDoubt(DoubtRunsCommand.of("entry-1", 101, 5));

    assertEquals(RunState.COMPLETED, finish(FIRST, RunState.COMPLETED, Optional.empty()));
  }

  @Test
  void should_prune_finished_runs_only() {
    claim(FIRST, "f");
    RunKey other = RunKey.of("wanjiru", "bookings", "deposit-2");
    table.claim(ClaimRunCommand.of(other, SECOND, "f", 1));
    table.finish(FinishRunCommand.of(other, SECOND, RunState.COMPLETED, Optional.empty(), 1));
    PruneCommand prune = PruneCommand.of(10, 10, 100);

    boolean wasPrunable = table.hasPrunable(prune);
    table.prune(prune);

    assertTrue(wasPrunable);
    assertEquals(1, table.records().size());
    assertEquals(RUN, table.records().get(0).run());
  }

  @Test
  void should_keep_no_more_finished_runs_than_the_limit() {
    for (int i = 0; i < 20; i++) {
      RunKey run = RunKey.of("wanjiru", "bookings", "deposit-" + i);
      table.finish(FinishRunCommand.of(run, FIRST, RunState.COMPLETED, Optional.empty(), i));
    }

    table.prune(PruneCommand.of(0, 0, 5));

    assertEquals(5, table.records().size());
    assertEquals("deposit-19", table.records().get(4).run().key());
  }

  private ClaimOutcome claim(RunAttempt attempt, String fingerprint) {
    return table.claim(ClaimRunCommand.of(RUN, attempt, fingerprint, 1)).outcome();
  }

  private RunState finish(RunAttempt attempt, RunState state, Optional<StoredAnswer> answer) {
    return table.finish(FinishRunCommand.of(RUN, attempt, state, answer, 1));
  }
}

package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.junit.jupiter.api.Test;

class EarlyCallsTest {

  private static final Instant START = Instant.ofEpochSecond(1000);

  private final List<PeerMessage> handled = new ArrayList<>();
  private final EarlyCalls calls = new EarlyCalls((call, answer) -> handled.add(call));

  @Test
  void should_handle_calls_in_their_order_once_a_leader_is_known() {
    calls.add(ReadIndexCall.of("e-1"), new CompletableFuture<>(), START);
    calls.add(ReadIndexCall.of("e-2"), new CompletableFuture<>(), START);

    calls.release(false, START.plusMillis(699));
    assertEquals(List.of(), handled);
    calls.release(true, START.plusMillis(699));

    assertEquals(List.of(ReadIndexCall.of("e-1"), ReadIndexCall.of("e-2")), handled);
  }

  /** Guards against a daemon that waits at an instance which is cut off from its group. */
  @Test
  void should_handle_a_call_whose_time_is_over_without_a_leader() {
    calls.add(ReadIndexCall.of("e-1"), new CompletableFuture<>(), START);
    calls.add(ReadIndexCall.of("e-2"), new CompletableFuture<>(), START.plusMillis(100));

    calls.release(false, START.plusMillis(700));

    assertEquals(List.of(ReadIndexCall.of("e-1")), handled);
  }

  /** Guards against memory that fills while there is no leader. */
  @Test
  void should_hold_a_bounded_number_of_calls() {
    boolean isHeld = true;
    int held = 0;
    while (isHeld && held < 10_000) {
      isHeld = calls.add(ReadIndexCall.of("e"), new CompletableFuture<>(), START);
      held++;
    }

    assertFalse(isHeld);
  }

  /** Guards against calls without an answer when an instance stops before it knew a leader. */
  @Test
  void should_fail_all_calls_at_the_stop() {
    CompletableFuture<ControlAnswer> answer = new CompletableFuture<>();
    calls.add(ReadIndexCall.of("e-1"), answer, START);

    calls.failAll();

    assertTrue(answer.join() instanceof CallFailed failed && !failed.applied());
  }
}

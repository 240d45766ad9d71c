package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against queued requests that miss a change, or are decided anew without one. */
class QueuedDecisionTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private final QueuedDecision decision = new QueuedDecision(NOW, NOW.plusMillis(500), 7, 3);

  @Test
  void should_not_repeat_a_decision_while_nothing_changed() {
    assertFalse(decision.mayDiffer(NOW.plusMillis(499), 7, 3));
  }

  @Test
  void should_repeat_a_decision_when_an_exclusion_ends_or_news_arrive() {
    assertTrue(decision.mayDiffer(NOW.plusMillis(500), 7, 3));
    assertTrue(decision.mayDiffer(NOW.plusMillis(60), 8, 3));
  }

  @Test
  void should_repeat_a_decision_some_time_after_another_request_ended() {
    assertFalse(decision.mayDiffer(NOW.plusMillis(239), 7, 4));
    assertTrue(decision.mayDiffer(NOW.plusMillis(240), 7, 4));
  }
}

package org.geraniumwharf.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  @Test
  void should_add_no_more_than_its_share_when_everything_fails() {
    RetryBudget budget = RetryBudget.of(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
      budget.deposit();
      retries += budget.tryWithdraw() ? 1 : 0;
    }

    assertEquals(110, retries, 1);
  }

  @Test
  void should_pick_delays_within_a_bound_that_doubles() {
    Backoff backoff = Backoff.of(Duration.ofMillis(20), Duration.ofMillis(100));
    SplittableRandom random = new SplittableRandom(1);
    for (int attempt = 0; attempt < 6; attempt++) {
      long bound = Math.min(100, 20L << attempt);
      for (int i = 0; i < 100; i++) {
        long delay = backoff.delay(attempt, random).toMillis();
        assertTrue(delay >= 0 && delay <= bound, "delay " + delay + " of attempt " + attempt);
      }
    }
  }

  @Test
  void should_drop_the_balance_that_exceeds_a_smaller_reserve() {
    RetryBudget budget = RetryBudget.of(0.2, 10);

    budget.setReserve(2);

    assertTrue(budget.tryWithdraw());
    assertTrue(budget.tryWithdraw());
    assertFalse(budget.tryWithdraw());
  }

  @Test
  void should_not_add_retries_when_the_reserve_grows() {
    RetryBudget budget = RetryBudget.of(0.2, 1);
    assertTrue(budget.tryWithdraw());

    budget.setReserve(50);

    assertFalse(budget.tryWithdraw());
  }
}

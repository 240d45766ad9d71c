package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

  private static final String SERVICE = "engines";
  private final PrefillRate rate = PrefillRate.create();

  @Test
  void should_come_near_the_rate_of_slow_engines_from_the_faster_samples() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 400; i++) {
      int tokens = 1000 + random.nextInt(9000);
      double waitMillis = random.nextInt(3) == 0 ? 0 : random.nextInt(200);
      rate.record(SERVICE, tokens, 0, 40 + tokens / 51.0 + waitMillis);
    }

    double learned = rate.tokensPerMilli(SERVICE);
    assertTrue(learned > 35 && learned < 60, "learned " + learned);
  }

  @Test
  void should_not_learn_from_short_prompts_or_behind_a_backlog() {
    rate.record(SERVICE, 999, 0, 4000);
    rate.record(SERVICE, 5000, 1, 4000);

    assertEquals(PrefillRate.INITIAL_TOKENS_PER_MILLI, rate.tokensPerMilli(SERVICE));
  }
}

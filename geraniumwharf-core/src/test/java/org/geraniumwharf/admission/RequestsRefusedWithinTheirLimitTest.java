package org.geraniumwharf.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.geraniumwharf.admission.LimitSharesSimulation.Faults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusing callers whose demand is far below their organisation's limit. */
class RequestsRefusedWithinTheirLimitTest {

  private static final long SEEDS = 100;

  @ParameterizedTest
  @CsvSource({
    "false, false, false",
    "true, false, false",
    "true, true, false",
    "false, false, true",
    "true, false, true",
    "true, true, true"
  })
  void should_refuse_nobody_at_a_tenth_of_the_limit(
      boolean leaderFreezes, boolean announcements, boolean stalls) {
    Faults faults = new Faults(leaderFreezes, announcements, stalls);

    List<Long> seedsWithRefusals =
        LongStream.range(0, SEEDS)
            .filter(seed -> LimitSharesSimulation.run(seed, faults) > 0)
            .boxed()
            .toList();

    assertEquals(List.of(), seedsWithRefusals);
  }
}

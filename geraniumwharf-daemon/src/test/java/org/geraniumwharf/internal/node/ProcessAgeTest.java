package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

class ProcessAgeTest {

  private static final long TOLERANCE_MILLIS = 3000;

  /** Guards against bounds on replaced weights that count from another time than the start. */
  @Test
  void should_agree_with_the_virtual_machine() {
    long uptime = ManagementFactory.getRuntimeMXBean().getUptime();

    long age = ProcessAge.millis();

    assertTrue(Math.abs(age - uptime) < TOLERANCE_MILLIS, age + " ms, but up for " + uptime);
  }

  @Test
  void should_read_the_start_behind_a_name_with_spaces() {
    String stat = "17 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 4200 20";

    assertEquals(58_250, ProcessAge.millisOf("100.25 99.00\n", stat));
  }
}

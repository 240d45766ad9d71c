package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SnapshotScheduleTest {

  private final SnapshotSchedule schedule = SnapshotSchedule.of(100, 1000);

  @Test
  void should_be_due_after_a_number_of_small_entries() {
    assertFalse(schedule.isDue(99));
    assertTrue(schedule.isDue(100));
  }

  @Test
  void should_be_due_after_the_bytes_of_a_few_large_entries() {
    schedule.recordApplied(600);
    assertFalse(schedule.isDue(1));

    schedule.recordApplied(400);
    assertTrue(schedule.isDue(2));
  }

  @Test
  void should_count_from_the_last_snapshot() {
    schedule.recordApplied(1000);
    schedule.recordSaved(50, 10);

    assertFalse(schedule.isDue(149));
    assertTrue(schedule.isDue(150));
  }

  @Test
  void should_wait_for_as_many_bytes_as_a_large_snapshot_has() {
    schedule.recordSaved(1, 5000);
    schedule.recordApplied(4999);
    assertFalse(schedule.isDue(2));

    schedule.recordApplied(1);
    assertTrue(schedule.isDue(3));
  }
}

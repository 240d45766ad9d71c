package org.geraniumwharf.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.junit.jupiter.api.Test;

final class LongRequestTargetsTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  @Test
  void should_select_the_same_third_for_any_order_of_the_targets() {
    List<RoutableTarget> targets = targets(6);
    List<RoutableTarget> reversed = new ArrayList<>(targets);
    Collections.reverse(reversed);

    List<RoutableTarget> selected = LongRequestTargets.of(targets).select(targets, true);

    assertEquals(2, selected.size());
    selected.forEach(target -> assertTrue(LongRequestTargets.of(reversed).contains(target)));
  }

  @Test
  void should_select_about_a_third_of_many_targets() {
    List<RoutableTarget> targets = targets(900);

    int size = LongRequestTargets.of(targets).select(targets, true).size();

    assertTrue(size > 240 && size < 360, () -> "size " + size);
  }

  @Test
  void should_leave_a_single_target_to_all_requests() {
    List<RoutableTarget> targets = targets(1);

    List<RoutableTarget> selected = LongRequestTargets.of(targets).select(targets, false);

    assertEquals(targets, selected);
  }

  @Test
  void should_detect_long_requests_only_among_much_shorter_ones() {
    LongRequestDetector uniform = LongRequestDetector.create();
    LongRequestDetector mixed = LongRequestDetector.create();
    for (int i = 0; i < 100; i++) {
      uniform.recordRequest(12_000, 1000, NOW);
      mixed.recordRequest(400, 30, NOW);
    }

    assertFalse(uniform.recordRequest(12_000, 1000, NOW));
    assertTrue(mixed.recordRequest(12_000, 1000, NOW));
    assertTrue(mixed.unreportedDelayMillis(NOW) > 0);
    assertEquals(0, mixed.unreportedDelayMillis(NOW.plusSeconds(11)));
  }

  private static List<RoutableTarget> targets(int count) {
    List<RoutableTarget> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(
          RoutableTarget.of(
              "engine-" + i, "http://127.0.0.1:9", "dc-1", EngineProfile.of(8, 12_000, 100, 1)));
    }
    return targets;
  }
}

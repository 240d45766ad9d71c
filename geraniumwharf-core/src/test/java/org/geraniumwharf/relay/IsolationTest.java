package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against kept cache that an organisation made before it was isolated and that others use
 * afterwards, or the reverse. {@code -Disolation.seeds=N} sets the number of schedules, {@code
 * -Disolation.seed=N} replays one.
 */
class IsolationTest {

  private static final long SEEDS = Long.getLong("isolation.seeds", 400);

  @Test
  void should_keep_isolated_organisations_apart_from_what_was_made_before() {
    Long replayed = Long.getLong("isolation.seed");
    List<String> failures = new ArrayList<>();
    int foreignUses = 0;
    for (long seed = replayed == null ? 1 : replayed;
        seed <= (replayed == null ? SEEDS : replayed);
        seed++) {
      try {
        foreignUses += IsolationSchedule.run(seed);
      } catch (AssertionError e) {
        failures.add("seed " + seed + ": " + e.getMessage());
      }
    }
    assertEquals(List.of(), failures);
    assertTrue(foreignUses > 0, "nothing was shared");
  }

  @Test
  void should_share_among_those_who_are_not_isolated_whatever_the_order_of_the_others() {
    CacheSharing sharing = CacheSharing.isolating(List.of("ndiaye", "baltkarte"));

    assertEquals(scope(sharing, "wanjiru"), scope(sharing, "lindqvist"));
    assertEquals(
        scope(sharing, "wanjiru"),
        scope(CacheSharing.isolating(List.of("baltkarte", "ndiaye")), "wanjiru"));
    assertEquals(
        scope(sharing, "wanjiru"),
        scope(CacheSharing.isolating(Set.of("ndiaye")).and(sharing), "wanjiru"));
  }

  @Test
  void should_not_confuse_names_that_read_the_same_when_joined() {
    assertNotEquals(
        scope(CacheSharing.isolating(List.of("ab", "c")), "wanjiru"),
        scope(CacheSharing.isolating(List.of("a", "bc")), "wanjiru"));
  }

  /** Guards against instances of two builds that share nothing where nobody is isolated. */
  @Test
  void should_name_the_scope_as_before_where_nobody_is_isolated() {
    assertEquals("", scope(CacheSharing.amongAll(), "wanjiru"));
  }

  private static String scope(CacheSharing sharing, String name) {
    return sharing.scopeOf(Optional.of(TestRequests.organisation(name, false)));
  }
}

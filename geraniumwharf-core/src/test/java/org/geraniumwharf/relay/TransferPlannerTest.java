package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.CacheStore;
import org.junit.jupiter.api.Test;

class TransferPlannerTest {

  private static final Instant NOW = TestRequests.NOW;
  private static final String SCOPE = "v1";
  private static final CacheStore SMALL = store("small", "10.0.0.8:80", 10_000);
  private static final CacheStore LARGE = store("large", "10.0.0.9:80", 1_000_000);
  private static final PromptPart CONTEXT = new PromptPart("context", 8000);
  private static final PromptPart OWN = new PromptPart("own", 2000);
  private static final ResolvedRequest DRAFT = TestRequests.generation(CONTEXT, OWN);

  private final StoredParts stored = StoredParts.create();
  private final FetchTimes fetchTimes = FetchTimes.create();
  private final TransferPlanner planner = TransferPlanner.of(stored, fetchTimes);

  @Test
  void should_save_only_parts_that_other_requests_share() {
    CacheTransfers transfers = plan(LARGE);

    assertEquals(List.of(Optional.of(LARGE.address()), Optional.empty()), transfers.save());
    assertEquals(List.of(Optional.empty(), Optional.empty()), transfers.fetch());
  }

  @Test
  void should_not_save_a_part_again_while_the_store_may_still_report_it() {
    plan(LARGE);

    assertTrue(plan(LARGE).save().stream().allMatch(Optional::isEmpty));
  }

  @Test
  void should_fetch_only_parts_that_a_store_reported_as_complete() {
    plan(LARGE);
    assertTrue(plan(LARGE).fetch().stream().allMatch(Optional::isEmpty));

    stored.add("large", SCOPE, "context", 8000);

    assertEquals(Optional.of(LARGE.address()), plan(LARGE).fetch().get(0));
    assertEquals(8000, planner.storedTokens(DRAFT, List.of(LARGE), SCOPE, TestRequests.RATES));
  }

  @Test
  void should_not_fetch_a_part_stored_under_another_scope() {
    stored.add("large", "v2", "context", 8000);

    assertTrue(plan(LARGE).fetch().stream().allMatch(Optional::isEmpty));
  }

  @Test
  void should_not_fetch_from_an_unavailable_store() {
    stored.add("large", SCOPE, "context", 8000);

    assertTrue(plan(SMALL).fetch().stream().allMatch(Optional::isEmpty));
  }

  @Test
  void should_not_save_at_a_full_store() {
    stored.add("small", SCOPE, "other", 5000);

    assertTrue(plan(SMALL).save().stream().allMatch(Optional::isEmpty));
  }

  @Test
  void should_not_fetch_parts_that_a_store_held_before_a_restart() {
    stored.add("large", SCOPE, "context", 8000);
    stored.removeStore("large");

    assertTrue(plan(LARGE).fetch().stream().allMatch(Optional::isEmpty));
    assertEquals(0, stored.storedTokens("large"));
  }

  /** A store at a quarter of its speed for five seconds, whose fetches queue up for longer. */
  @Test
  void should_compute_what_a_slow_store_would_deliver_too_late_until_it_is_fast_again() {
    stored.add("large", SCOPE, "context", 8000);
    int requests = 100;
    int fetchedWhileSlow = 0;
    int fetchedAfter = 0;
    for (int i = 0; i < requests; i++) {
      fetchedWhileSlow += fetch(NOW.plusMillis(50L * i), 900);
    }
    for (int i = 0; i < requests; i++) {
      fetchedAfter += fetch(NOW.plusMillis(50L * (requests + i)), 0);
    }

    assertTrue(fetchedWhileSlow < requests / 4, fetchedWhileSlow + " fetched while slow");
    assertTrue(fetchedAfter > requests * 3 / 4, fetchedAfter + " fetched after it recovered");
  }

  /** The delay of requests that do not fetch tells a slow engine from a slow store. */
  @Test
  void should_go_on_fetching_when_all_first_tokens_are_late() {
    stored.add("large", SCOPE, "context", 8000);
    for (int i = 0; i < 100; i++) {
      fetchTimes.recordWithoutFetch(900);
    }
    int fetched = 0;
    for (int i = 0; i < 100; i++) {
      fetched += fetch(NOW.plusMillis(50L * i), 900);
    }

    assertEquals(100, fetched);
  }

  /** Plans one request, and records the delay of its first token if it fetched. */
  private int fetch(Instant now, double delayMillis) {
    CacheTransfers transfers = planner.plan(DRAFT, List.of(LARGE), SCOPE, TestRequests.RATES, now);
    if (transfers.totalFetchedTokens() == 0) {
      return 0;
    }
    fetchTimes.recordFetch("large", delayMillis);
    return 1;
  }

  private CacheTransfers plan(CacheStore store) {
    return planner.plan(DRAFT, List.of(store), SCOPE, TestRequests.RATES, TestRequests.NOW);
  }

  private static CacheStore store(String name, String address, long tokens) {
    return CacheStore.of(name, address, "dc-1", tokens, 590_000, 1, true);
  }
}

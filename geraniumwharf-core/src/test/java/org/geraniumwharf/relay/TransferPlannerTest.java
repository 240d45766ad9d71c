package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.CacheStore;
import org.junit.jupiter.api.Test;

class TransferPlannerTest {

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

  private CacheTransfers plan(CacheStore store) {
    return planner.plan(DRAFT, List.of(store), SCOPE, TestRequests.RATES, TestRequests.NOW);
  }

  private static CacheStore store(String name, String address, long tokens) {
    return CacheStore.of(name, address, "dc-1", tokens, 590_000, 1, true);
  }
}

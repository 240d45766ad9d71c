package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Rules of the fair queue one by one; the load patterns are in {@link FairQueueReplayTest}. */
class FairQueueTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);

  private final RelayQueue<String> queue = RelayQueue.fair();

  private static RequestProfile request(String organisation, int goalMillis, double work) {
    return request(organisation, 0, goalMillis, 10_000, work);
  }

  private static RequestProfile request(
      String organisation, int priority, int goalMillis, int timeoutMillis, double work) {
    return new RequestProfile(
        organisation,
        "kind-" + priority,
        "",
        priority,
        0,
        Math.round(work),
        work,
        NOW.plusMillis(goalMillis),
        NOW.plusMillis(timeoutMillis),
        true);
  }

  private List<String> order(Instant now) {
    return queue.first(100, now).stream().map(RelayQueue.Entry::item).toList();
  }

  private void offer(String name, RequestProfile profile) {
    assertTrue(queue.offer(name, profile, NOW).entry().isPresent(), name);
  }

  @Test
  void should_order_by_slack_while_capacity_suffices() {
    offer("late", request("one", -100, 100));
    offer("relaxed", request("one", 3000, 100));
    offer("urgent", request("one", 1000, 100));

    assertEquals(List.of("urgent", "relaxed", "late"), order(NOW));
  }

  @Test
  void should_order_by_priority_before_slack() {
    offer("less urgent", request("one", 1, 500, 10_000, 100));
    offer("more urgent", request("one", 0, 3000, 10_000, 100));

    assertEquals(List.of("more urgent", "less urgent"), order(NOW));
  }

  /** Guards against a priority of an organisation that makes all of its kinds equally urgent. */
  @Test
  void should_order_requests_of_the_same_priority_by_that_of_their_route() {
    RequestProfile relaxed = request("one", 500, 100);
    offer(
        "less urgent route",
        new RequestProfile(
            "one", "b", "", 0, 2, 100, 100, relaxed.goalAt(), relaxed.deadline(), true));
    offer("more urgent route", request("one", 3000, 100));

    assertEquals(List.of("more urgent route", "less urgent route"), order(NOW));
  }

  /** Guards against late requests that never leave the queue while fresh ones keep arriving. */
  @Test
  void should_give_late_requests_a_tenth_of_the_work() {
    offer("late", request("one", -100, 100));
    offer("fresh", request("one", 3000, 100));
    for (int i = 0; i < 8; i++) {
      queue.recordDispatched(request("one", 3000, 100), NOW);
    }
    assertEquals("fresh", order(NOW).get(0));

    queue.recordDispatched(request("one", 3000, 100), NOW);
    queue.recordDispatched(request("one", 3000, 100), NOW);

    assertEquals("late", order(NOW).get(0));
  }

  /** Guards against short requests that overtake a long one for ever. */
  @Test
  void should_let_a_long_request_overtake_short_ones_with_its_age() {
    offer("long", request("one", -100, 800));
    Instant later = NOW.plusMillis(1000);
    queue.offer("short", request("one", -100, 100), later);
    assertEquals(List.of("long", "short"), order(later));

    queue.offer("shorter", request("one", -100, 1), later);
    assertEquals(List.of("shorter", "long", "short"), order(later));
  }

  @Test
  void should_put_the_organisation_with_the_least_recent_cost_first_when_capacity_is_short() {
    for (int i = 0; i < 20; i++) {
      queue.recordDispatched(request("large", 300, 100), NOW);
    }
    queue.recordDispatched(request("small", 300, 100), NOW);
    for (int i = 0; i < 10; i++) {
      offer("large", request("large", 300, 100));
    }
    offer("small", request("small", 300, 100));

    assertEquals("small", order(NOW).get(0));
  }

  /** Guards against requests with one key of many organisations, each within its share. */
  @Test
  void should_put_requests_with_a_key_of_much_recent_cost_last_when_capacity_is_short() {
    for (int i = 0; i < 20; i++) {
      queue.recordDispatched(withKey("hot", "org-" + i), NOW);
      queue.recordDispatched(withKey("key-" + i, "org-" + i), NOW);
    }
    for (int i = 0; i < 10; i++) {
      offer("hot", withKey("hot", "org-" + i));
    }
    offer("other", withKey("key-x", "org-0"));

    assertEquals("other", order(NOW).get(0));
  }

  private static RequestProfile withKey(String key, String organisation) {
    RequestProfile profile = request(organisation, 300, 100);
    return new RequestProfile(
        organisation,
        profile.kind(),
        key,
        0,
        0,
        profile.size(),
        profile.work(),
        profile.goalAt(),
        profile.deadline(),
        true);
  }

  /** Guards against an organisation that gains by repeating refused requests. */
  @Test
  void should_charge_an_organisation_for_refused_attempts() {
    for (int i = 0; i < 40; i++) {
      queue.recordRefused(request("repeats", 300, 100), NOW);
    }
    queue.recordDispatched(request("other", 300, 100), NOW);
    for (int i = 0; i < 10; i++) {
      offer("repeats", request("repeats", 300, 100));
    }
    offer("other", request("other", 300, 100));

    assertEquals("other", order(NOW).get(0));
  }

  /** Guards against memory of a flood for longer than the flood matters. */
  @Test
  void should_forget_the_cost_of_an_organisation() {
    for (int i = 0; i < 40; i++) {
      queue.recordDispatched(request("large", 300, 100), NOW);
    }
    Instant later = NOW.plusSeconds(40);
    RequestProfile large = request("large", 40_300, 100);
    for (int i = 0; i < 10; i++) {
      queue.offer("first", withDeadline(large), later);
    }
    queue.offer("last", withDeadline(request("small", 40_300, 100)), later);

    assertEquals("first", order(later).get(0));
  }

  private static RequestProfile withDeadline(RequestProfile profile) {
    return new RequestProfile(
        profile.organisation(),
        profile.kind(),
        "",
        profile.priority(),
        profile.subPriority(),
        profile.size(),
        profile.work(),
        profile.goalAt(),
        profile.goalAt().plusSeconds(10),
        true);
  }

  /**
   * Guards against waits counted in requests: one long request takes as long as many short ones.
   */
  @Test
  void should_expect_a_wait_in_work() {
    for (int i = 1; i <= 200; i++) {
      queue.recordEnded(100, NOW.minusMillis(2010 - 10 * i));
    }
    offer("long", request("one", 2000, 20_000));

    // 20,100 units at 10 per ms, and half of it for requests that arrive later and go before.
    Duration wait = queue.offer("behind", request("one", 3000, 100), NOW).expectedWait();

    assertTrue(wait.toMillis() > 2900 && wait.toMillis() < 3150, wait.toString());
  }

  @Test
  void should_refuse_at_once_what_cannot_be_served_before_its_deadline() {
    offer("long", request("one", 2000, 100));
    queue.recordEnded(100, NOW.minusMillis(10));
    for (int i = 0; i < 30; i++) {
      queue.offer("ahead", request("one", 200, 100), NOW);
    }

    assertTrue(queue.offer("hopeless", request("one", 1, 250, 300, 100), NOW).entry().isEmpty());
    assertTrue(queue.offer("patient", request("one", 0, 250, 9000, 100), NOW).entry().isPresent());
  }

  /** Guards against a late request that keeps its place and one that can be on time is refused. */
  @Test
  void should_displace_the_least_valuable_when_the_queue_is_full() {
    for (int i = 1; i <= 400; i++) {
      queue.recordEnded(100, NOW.minusMillis(400 - i));
    }
    int late = 0;
    while (queue.offer("late-" + late, request("one", -100, 100), NOW).entry().isPresent()) {
      late++;
    }
    assertEquals(256, late);

    RelayQueue.Admission<String> fresh = queue.offer("fresh", request("one", 1000, 100), NOW);

    assertTrue(fresh.entry().isPresent());
    assertEquals(
        List.of("late-255"), fresh.displaced().stream().map(RelayQueue.Entry::item).toList());
    assertEquals(256, queue.size());
    assertTrue(queue.offer("late", request("one", -100, 100), NOW).isFull());
  }

  /** Guards against "not run" for a request that a target may have run. */
  @Test
  void should_never_displace_a_request_that_was_sent() {
    for (int i = 1; i <= 400; i++) {
      queue.recordEnded(100, NOW.minusMillis(400 - i));
    }
    RequestProfile late = request("one", -100, 100);
    RequestProfile sent =
        new RequestProfile(
            "one", "kind-0", "", 0, 0, 100, 100, late.goalAt(), late.deadline(), false);
    for (int i = 0; i < 256; i++) {
      offer("sent", sent);
    }

    RelayQueue.Admission<String> fresh = queue.offer("fresh", request("one", 1000, 100), NOW);

    assertTrue(fresh.entry().isEmpty());
    assertTrue(fresh.displaced().isEmpty());
  }

  /** A new process has no history: nothing may be refused for lack of it. */
  @Test
  void should_admit_requests_without_history_after_a_restart() {
    offer("backlog", request("one", -500, 1000));
    offer("fresh", request("two", 400, 1000));

    assertEquals(List.of("fresh", "backlog"), order(NOW));
    assertFalse(queue.drainTime(NOW).isZero());
  }

  @Test
  void should_take_a_clock_that_goes_backwards_for_one_that_stands_still() {
    queue.recordEnded(100, NOW);
    queue.recordDispatched(request("one", 500, 100), NOW);
    Instant before = NOW.minusMillis(30);
    queue.recordEnded(100, before);
    queue.recordDispatched(request("one", 500, 100), before);
    queue.recordRefused(request("one", 500, 100), before.minusMillis(5));
    offer("first", request("one", 1000, 100));
    queue.offer("second", request("one", 2000, 100), before);

    assertEquals(List.of("first", "second"), order(before.minusMillis(10)));
    assertFalse(queue.drainTime(before).isNegative());
  }

  @Test
  void should_bound_absurd_sizes() {
    for (double work : new double[] {0, -5, Double.NaN, Double.POSITIVE_INFINITY, 1e300}) {
      RequestProfile absurd = request("absurd", 1000, work);
      queue.recordDispatched(absurd, NOW);
      queue.recordEnded(work, NOW.plusMillis(1));
      queue.recordRefused(absurd, NOW);
      queue.offer("absurd", absurd, NOW);
      queue.recordFirstResponse(absurd, Duration.ofMillis(-5));
    }
    for (int i = 2; i < 200; i++) {
      queue.recordEnded(100, NOW.plusMillis(i));
    }

    RelayQueue.Admission<String> usual = queue.offer("usual", request("usual", 500, 100), NOW);

    assertTrue(usual.entry().isPresent());
    assertTrue(usual.expectedWait().compareTo(Duration.ofMillis(100)) < 0);
  }

  /** Guards against an absurd size after whose end no request is expected to wait. */
  @Test
  void should_expect_the_usual_wait_again_after_ends_of_absurd_sizes() {
    for (double work : new double[] {Double.NaN, Double.POSITIVE_INFINITY, 1e300, -5}) {
      RelayQueue<String> disturbed = RelayQueue.fair();
      disturbed.recordEnded(100, NOW);
      disturbed.recordEnded(work, NOW);
      for (int i = 1; i <= 200; i++) {
        disturbed.recordEnded(100, NOW.plusMillis(10L * i));
      }
      Instant now = NOW.plusMillis(2000);

      disturbed.offer("first", request("one", 3000, 1000), now);

      long millis = disturbed.drainTime(now).toMillis();
      assertTrue(millis > 95 && millis < 105, millis + " ms after " + work);
    }
  }

  /** Guards against memory that grows with names that callers choose. */
  @Test
  void should_keep_a_bounded_number_of_names() {
    RecentCost cost = new RecentCost();
    for (int i = 0; i < 1000; i++) {
      cost.add("name-" + i, 1 + i, NOW);
    }

    assertEquals(0, cost.of("name-0"));
    assertEquals(1000, cost.of("name-999"));
  }
}

package org.geraniumwharf.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadReport;
import org.junit.jupiter.api.Test;

class EstimatedTimePolicyTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final EngineProfile PROFILE = EngineProfile.of(8, 10_000, 50, 1);

  private final TargetLoadTable load = TargetLoadTable.create(3, 1000);
  private final RoutingPolicy policy = EstimatedTimePolicy.create(new SplittableRandom(1));
  private final List<RoutableTarget> targets = targets(6);

  @Test
  void should_prefer_the_same_target_for_a_context_at_every_daemon() {
    RoutingPolicy otherDaemon = EstimatedTimePolicy.create(new SplittableRandom(2));
    TargetLoadTable otherLoad = TargetLoadTable.create(3, 1000);
    for (int session = 0; session < 50; session++) {
      RoutingRequest request = request(pieces(session, 40));

      String local = chosen(request);
      String remote =
          otherDaemon.decide(request, targets, otherLoad, NOW).orElseThrow().chosen().id();

      assertEquals(local, remote);
    }
  }

  @Test
  void should_keep_a_growing_context_at_its_preferred_target() {
    int kept = 0;
    for (int session = 0; session < 50; session++) {
      String before = chosen(request(pieces(session, 40)));
      String after = chosen(request(pieces(session, 60)));
      kept += before.equals(after) ? 1 : 0;
    }

    assertEquals(50, kept);
  }

  @Test
  void should_spread_sessions_that_share_a_preamble() {
    List<PieceName> preamble = pieces(99, 10);
    Set<String> preferred = new HashSet<>();
    for (int session = 0; session < 60; session++) {
      List<PieceName> context = new ArrayList<>(preamble);
      context.addAll(pieces(session, 40));
      preferred.add(chosen(request(context)));
    }

    assertEquals(6, preferred.size());
  }

  @Test
  void should_prefer_a_target_that_caches_the_context_to_an_idle_one() {
    List<PieceName> context = pieces(1, 100);
    RoutableTarget preferred =
        policy.decide(request(context), targets, load, NOW).orElseThrow().chosen();
    RoutableTarget holder =
        targets.stream().filter(target -> !target.equals(preferred)).findFirst().orElseThrow();
    observe(holder.id(), context, 1);

    assertEquals(holder.id(), chosen(request(context)));
  }

  @Test
  void should_avoid_a_holder_whose_queue_costs_more_than_recomputing() {
    List<PieceName> context = pieces(1, 100);
    observe("engine-3", context, 1);
    load.recordReport("engine-3", LoadReport.of(8, 4, 50_000, 1, 0), NOW);

    assertNotEquals("engine-3", chosen(request(context)));
  }

  @Test
  void should_scale_own_work_by_its_share_of_all_work() {
    load.recordReport("engine-1", LoadReport.of(0, 0, 0, 1, 0), NOW);
    for (int i = 0; i < 5; i++) {
      load.recordStart("engine-1", "attempt-" + i, 2000, Duration.ofSeconds(100), NOW);
    }
    double before = queueMillis("engine-1");

    load.recordReport("engine-1", LoadReport.of(0, 0, 0, 2, 15), NOW);

    assertEquals(1000, before, 1);
    assertTrue(queueMillis("engine-1") > 2.5 * before);
  }

  private double queueMillis(String target) {
    RoutableTarget routable = RoutableTarget.of(target, "", "dc-1", PROFILE);
    return load.estimate(routable, request(List.of()), "test", NOW).queueMillis();
  }

  @Test
  void should_avoid_a_straggler_detected_by_own_requests_before_any_report() {
    List<PieceName> context = pieces(1, 100);
    String preferred = chosen(request(context));
    observe(preferred, List.of(), 10);
    observe(preferred, List.of(), 10);

    assertNotEquals(preferred, chosen(request(context)));
  }

  @Test
  void should_avoid_a_target_whose_requests_wait_longer_than_expected() {
    List<PieceName> context = pieces(1, 100);
    String preferred = chosen(request(context));
    load.recordStart(preferred, "attempt", 100, Duration.ofMillis(50), NOW.minusMillis(600));

    assertNotEquals(preferred, chosen(request(context)));
  }

  @Test
  void should_prefer_a_former_straggler_again_after_a_while() {
    List<PieceName> context = pieces(1, 100);
    String preferred = chosen(request(context));
    observe(preferred, List.of(), 10);
    observe(preferred, List.of(), 10);

    String later =
        policy
            .decide(request(context), targets, load, NOW.plusSeconds(120))
            .orElseThrow()
            .chosen()
            .id();

    assertEquals(preferred, later);
  }

  @Test
  void should_not_choose_an_excluded_or_ejected_target() {
    RoutingRequest request = request(pieces(1, 100));
    String first = chosen(request);
    for (int i = 0; i < 3; i++) {
      load.recordFailure(first, NOW);
    }

    String second = chosen(request);
    RoutingRequest excluding = RoutingRequest.of("r", request.pieces(), 16, 1600, Set.of(second));

    assertNotEquals(first, second);
    assertNotEquals(second, chosen(excluding));
  }

  @Test
  void should_ignore_ejections_that_would_leave_less_than_half() {
    for (RoutableTarget target : targets.subList(0, 5)) {
      for (int i = 0; i < 3; i++) {
        load.recordFailure(target.id(), NOW);
      }
    }
    Set<String> chosen = new HashSet<>();
    for (int session = 0; session < 60; session++) {
      chosen.add(chosen(request(pieces(session, 20))));
    }

    assertEquals(6, chosen.size());
  }

  @Test
  void should_return_no_decision_without_targets() {
    assertTrue(policy.decide(request(pieces(1, 1)), List.of(), load, NOW).isEmpty());
  }

  private String chosen(RoutingRequest request) {
    return policy.decide(request, targets, load, NOW).orElseThrow().chosen().id();
  }

  private void observe(String target, List<PieceName> pieces, int slowness) {
    load.recordStart(target, "attempt", 100, Duration.ofMillis(100), NOW);
    load.recordFirstToken(
        target,
        "attempt",
        100,
        pieces,
        Duration.ofMillis(100),
        Duration.ofMillis(100L * slowness),
        NOW);
    load.recordFinish(target, Duration.ofMillis(500));
  }

  private static RoutingRequest request(List<PieceName> pieces) {
    return RoutingRequest.of("request", pieces, 16, Math.max(1, pieces.size() * 16), Set.of());
  }

  private static List<RoutableTarget> targets(int count) {
    List<RoutableTarget> targets = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      targets.add(RoutableTarget.of("engine-" + i, "http://127.0.0.1:1", "dc-1", PROFILE));
    }
    return targets;
  }

  private static List<PieceName> pieces(int session, int count) {
    SplittableRandom random = new SplittableRandom(session);
    List<PieceName> pieces = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      pieces.add(new PieceName(random.nextLong(), random.nextLong()));
    }
    return pieces;
  }
}

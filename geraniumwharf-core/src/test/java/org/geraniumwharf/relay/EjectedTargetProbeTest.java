package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.objects.Execution;
import org.junit.jupiter.api.Test;

/** Guards against refusals for seconds while the only target, which failed in a row, is idle. */
class EjectedTargetProbeTest {

  private static final RelayTarget TARGET = TestRequests.target("only");
  private static final RelayTarget OTHER = TestRequests.target("other");
  private static final ResolvedRequest REQUEST = TestRequests.plain(Execution.IDEMPOTENT);
  private static final int FAILURES = 8;
  private static final int ARRIVAL_MILLIS = 50;
  private static final Duration MAX_REFUSING = Duration.ofMillis(500);

  private final RelayLoadTable load = RelayLoadTable.forInstance("entry-1");

  @Test
  void should_refuse_for_half_a_second_at_most_after_each_failure() {
    Instant now = TestRequests.NOW;
    Instant lastSent = now;
    Duration longest = Duration.ZERO;
    int failures = 0;
    while (failures < FAILURES) {
      now = now.plusMillis(ARRIVAL_MILLIS);
      if (choose(now, TARGET).isPresent()) {
        longest = max(longest, Duration.between(lastSent, now));
        lastSent = now;
        fail(TARGET, now);
        failures++;
      }
    }

    assertTrue(longest.compareTo(MAX_REFUSING) <= 0, "refused for " + longest);
  }

  @Test
  void should_probe_with_one_request_at_a_time() {
    Instant now = ejected(TARGET);
    RelayLoadTable.InFlightRequest probe = load.recordSent(TARGET, REQUEST, 0);

    Optional<RelayPlacement.Choice> second = choose(now, TARGET);
    load.recordEnded(probe);

    assertTrue(second.isEmpty());
    assertEquals(TARGET, choose(now, TARGET).orElseThrow().target());
  }

  @Test
  void should_probe_no_ejected_target_while_another_is_healthy_but_full() {
    Instant now = ejected(TARGET);
    for (int i = 0; i < 100; i++) {
      load.recordSent(OTHER, REQUEST, 0);
    }

    assertTrue(choose(now, TARGET, OTHER).isEmpty());
  }

  @Test
  void should_probe_no_target_that_states_it_is_full() {
    load.recordRejection(TARGET.id(), TestRequests.NOW);

    assertTrue(choose(TestRequests.NOW.plusMillis(79), TARGET).isEmpty());
    assertTrue(choose(TestRequests.NOW.plusMillis(80), TARGET).isPresent());
  }

  /** Ejects a target for the longest time and returns when it may be probed. */
  private Instant ejected(RelayTarget target) {
    for (int i = 0; i < FAILURES; i++) {
      fail(target, TestRequests.NOW);
    }
    return TestRequests.NOW.plus(MAX_REFUSING);
  }

  private void fail(RelayTarget target, Instant now) {
    RelayLoadTable.InFlightRequest sent = load.recordSent(target, REQUEST, 0);
    load.recordFailure(target.id(), now);
    load.recordEnded(sent);
  }

  private Optional<RelayPlacement.Choice> choose(Instant now, RelayTarget... targets) {
    return RelayPlacement.forDataCentre("dc-1")
        .choose(
            new PlacementQuery(REQUEST, List.of(targets), Set.of(), 1, 0, TestRequests.RATES, now),
            load);
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.ReadinessFixtures;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.Test;

/**
 * Guards against the end of many requests at a target that fails, after which a fair queue would
 * expect that targets work much faster than they do.
 */
class FailedCallTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final RelayTarget TARGET =
      new RelayTarget("target-1", 1, "10.0.0.1:80", "dc-1", 48, "", 0);

  private final TargetCall call =
      new TargetCall(exchange(), TARGET, null, null, new Permit("target-1", 1, Optional.empty()));

  @Test
  void should_not_count_a_call_without_an_answer_as_work_that_was_done() {
    call.sent(
        new TargetConnection(null, null, null, null, null, () -> NOW),
        CacheTransfers.none(),
        false,
        NOW);
    assertTrue(call.isWorkDone());

    call.onFailure("the connection was closed");

    assertFalse(call.isWorkDone());
  }

  private static RelayExchange exchange() {
    return new RelayExchange(relay(), null, null, null, null);
  }

  private static RelayState relay() {
    FleetViewHolder holder = FleetFixtures.holder(List.of(), List.of(), NOW);
    EventLog log = EventLog.none();
    return RelayState.create(
        holder,
        ReadinessFixtures.withoutView(holder),
        null,
        KnownStores.create(log),
        new Relay.Rules("dc-1", 0.1, 10, ReplacedWeights.Bounds.DEFAULT),
        RelayLoadTable.forInstance("entry-1"),
        LoggedQuarantine.create(log),
        () -> 1,
        DaemonMetrics.create(),
        log,
        () -> NOW);
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.ReadinessFixtures;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.Test;

/** Guards against the send of a request that was decided before an evacuation was known. */
class EvacuatedTargetTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final RelayTarget TARGET =
      new RelayTarget("target-1", 1, "10.0.0.1:80", "dc-2", 48, "", 0);
  private static final RelayTarget OTHER =
      new RelayTarget("target-2", 1, "10.0.0.2:80", "dc-1", 48, "", 0);

  private final FleetViewHolder holder = FleetFixtures.holder(List.of(), List.of(), NOW);
  private final RelayState relay = relay();

  @Test
  void should_check_a_decided_target_by_the_newest_view() {
    boolean isEvacuatedBefore = relay.isEvacuated(TARGET);
    FleetFixtures.tellEvacuation(holder, 2, "dc-2", true, NOW);
    boolean isEvacuatedBetween = relay.isEvacuated(TARGET);
    boolean isOtherEvacuated = relay.isEvacuated(OTHER);
    FleetFixtures.tellEvacuation(holder, 3, "dc-2", false, NOW);

    assertFalse(isEvacuatedBefore);
    assertTrue(isEvacuatedBetween);
    assertFalse(isOtherEvacuated);
    assertFalse(relay.isEvacuated(TARGET));
  }

  private RelayState relay() {
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

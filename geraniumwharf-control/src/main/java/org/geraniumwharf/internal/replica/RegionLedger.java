package org.geraniumwharf.internal.replica;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.DataCentreRegion;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.RegionReport;
import org.geraniumwharf.schema.messages.RegionTable;

/** The regions that daemons state in their heartbeats. Confined to the thread of the replica. */
final class RegionLedger {

  private final Map<String, DataCentreRegion> stated = new HashMap<>();

  /** Forgets everything; a new leader learns it again from the next heartbeats. */
  void clear() {
    stated.clear();
  }

  /** Records what a daemon states of the region of its data centre. */
  void record(HeartbeatCall call) {
    Optional<String> region = call.region().flatMap(RegionReport::region);
    if (region.isPresent()) {
      stated.put(
          call.daemon().name(), DataCentreRegion.of(call.daemon().dataCentre(), region.get()));
    } else {
      stated.remove(call.daemon().name());
    }
  }

  /**
   * Returns each different statement of the live daemons, also those that contradict each other;
   * empty if a heartbeat does not ask for them.
   */
  Optional<RegionTable> answer(HeartbeatCall call, Set<String> liveDaemons) {
    if (!call.region().map(RegionReport::asks).orElse(false)) {
      return Optional.empty();
    }
    stated.keySet().retainAll(liveDaemons);
    return Optional.of(RegionTable.of(List.copyOf(new LinkedHashSet<>(stated.values()))));
  }
}

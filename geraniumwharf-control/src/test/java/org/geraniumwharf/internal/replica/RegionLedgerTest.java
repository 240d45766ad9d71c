package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.DataCentreRegion;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.RegionReport;
import org.geraniumwharf.schema.messages.RegionTable;
import org.junit.jupiter.api.Test;

/**
 * Guards against entry instances that get regions of data centres which no live instance states.
 */
class RegionLedgerTest {

  private static final DataCentreRegion NORTH = DataCentreRegion.of("dc-1", "north");
  private static final DataCentreRegion SOUTH = DataCentreRegion.of("dc-2", "south");
  private static final Set<String> ALL = Set.of("entry-1", "entry-2", "control-1");

  private final RegionLedger ledger = new RegionLedger();

  RegionLedgerTest() {
    ledger.record(heartbeat("entry-1", "dc-1", "north"));
    ledger.record(heartbeat("entry-2", "dc-1", "north"));
    ledger.record(heartbeat("control-1", "dc-2", "south"));
  }

  @Test
  void should_answer_each_statement_once() {
    assertEquals(Set.of(NORTH, SOUTH), stated(ALL));
  }

  @Test
  void should_answer_nothing_to_a_daemon_that_does_not_ask() {
    HeartbeatCall silent = heartbeat("entry-1", "dc-1", "north");

    assertEquals(Optional.empty(), ledger.answer(silent, ALL));
    assertEquals(Optional.empty(), ledger.answer(silent.withRegion(Optional.empty()), ALL));
  }

  // Guards against one of two regions that is taken for the right one.
  @Test
  void should_answer_statements_that_contradict_each_other() {
    ledger.record(heartbeat("entry-2", "dc-1", "west"));

    assertEquals(Set.of(NORTH, SOUTH, DataCentreRegion.of("dc-1", "west")), stated(ALL));
  }

  @Test
  void should_leave_out_daemons_that_are_gone_or_state_nothing_any_more() {
    assertEquals(Set.of(NORTH), stated(Set.of("entry-1", "entry-2")));

    ledger.record(heartbeat("entry-1", "dc-1", "north").withRegion(Optional.empty()));
    ledger.record(heartbeat("entry-2", "dc-1", "north").withRegion(Optional.empty()));

    assertEquals(Set.of(), stated(Set.of("entry-1", "entry-2")));
  }

  private Set<DataCentreRegion> stated(Set<String> liveDaemons) {
    HeartbeatCall asking =
        heartbeat("entry-3", "dc-3", "east")
            .withRegion(Optional.of(RegionReport.of(Optional.empty(), true)));
    return Set.copyOf(
        ledger.answer(asking, liveDaemons).map(RegionTable::regions).orElse(List.of()));
  }

  private static HeartbeatCall heartbeat(String daemon, String dataCentre, String region) {
    return HeartbeatCall.of(
        DaemonStatus.of(daemon, 1, dataCentre, 1, 1, true, false, ""),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        Optional.of(RegionReport.of(Optional.of(region), false)));
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DataCentreRegion;
import org.geraniumwharf.schema.messages.RegionReport;
import org.geraniumwharf.schema.objects.Organisation;
import org.junit.jupiter.api.Test;

/** Guards against data centres that count as being in a region which is not sure. */
class KnownRegionsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final Configuration RESTRICTED = configuration(List.of("north"));
  private static final DataCentreRegion SOUTH = DataCentreRegion.of("dc-2", "south");

  private final KnownRegions regions =
      KnownRegions.create("dc-1", true, Map.of("dc-1", "north"), EventLog.none());

  @Test
  void should_tell_and_ask_nothing_while_no_request_is_restricted() {
    assertEquals(Optional.empty(), regions.report(configuration(List.of()), NOW));
    assertEquals(Optional.empty(), regions.report(Configuration.empty(), NOW));
  }

  @Test
  void should_tell_its_region_and_ask_once_a_second() {
    Optional<String> north = Optional.of("north");

    assertEquals(Optional.of(RegionReport.of(north, true)), regions.report(RESTRICTED, NOW));
    assertEquals(
        Optional.of(RegionReport.of(north, false)),
        regions.report(RESTRICTED, NOW.plusMillis(999)));
    assertEquals(
        Optional.of(RegionReport.of(north, true)),
        regions.report(RESTRICTED, NOW.plusMillis(1000)));
  }

  @Test
  void should_not_ask_as_a_control_instance() {
    KnownRegions ofControl =
        KnownRegions.create("dc-3", false, Map.of("dc-1", "north"), EventLog.none());

    assertEquals(
        Optional.of(RegionReport.of(Optional.empty(), false)), ofControl.report(RESTRICTED, NOW));
  }

  @Test
  void should_know_the_regions_that_the_settings_and_other_instances_state() {
    assertEquals(Optional.of("north"), regionOf("dc-1"));
    assertEquals(Optional.empty(), regionOf("dc-2"));

    regions.received(List.of(SOUTH));

    assertEquals(Optional.of("north"), regionOf("dc-1"));
    assertEquals(Optional.of("south"), regionOf("dc-2"));
    assertEquals(Optional.empty(), regionOf("dc-3"));
  }

  // Guards against refusals after the loss of all instances of a data centre whose targets go on.
  @Test
  void should_keep_what_an_instance_stated_that_is_gone() {
    regions.received(List.of(SOUTH));
    regions.received(List.of());

    assertEquals(Optional.of("south"), regionOf("dc-2"));
  }

  @Test
  void should_not_know_a_region_of_which_instances_state_different_ones() {
    regions.received(List.of(SOUTH, DataCentreRegion.of("dc-2", "west")));

    assertEquals(Optional.empty(), regionOf("dc-2"));

    regions.received(List.of(DataCentreRegion.of("dc-2", "west")));

    assertEquals(Optional.of("west"), regionOf("dc-2"));
  }

  @Test
  void should_not_know_a_region_that_an_instance_states_otherwise_than_the_settings() {
    regions.received(List.of(DataCentreRegion.of("dc-1", "south")));

    assertEquals(Optional.empty(), regionOf("dc-1"));
  }

  private Optional<String> regionOf(String dataCentre) {
    return regions.current().regionOf(dataCentre);
  }

  private static Configuration configuration(List<String> allowedRegions) {
    return Configuration.of(
        1,
        List.of(
            Organisation.of(
                "wanjiru",
                List.of(),
                List.of(),
                1,
                Optional.empty(),
                List.of(),
                Optional.empty(),
                false,
                allowedRegions)));
  }
}

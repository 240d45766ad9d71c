package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.configuration.ConfigurationChecker;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.schema.objects.Execution;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.objects.RouteSplit;
import org.junit.jupiter.api.Test;

class RelayTableTest {

  private static final RelayService SERVICE =
      RelayService.of("engines", Optional.empty(), 10, Optional.empty(), Optional.empty());
  private static final RelayRoute SHORT = route("short", "/a/");
  private static final RelayRoute LONG = route("long", "/a/b/");

  @Test
  void should_choose_the_longest_prefix() {
    RelayTable table = RelayTable.of(Configuration.of(1, List.of(SERVICE, SHORT, LONG)));

    assertEquals(Optional.of(LONG), table.route("QUOTES.example", "/a/b/7"));
    assertEquals(Optional.of(SHORT), table.route("quotes.example", "/a/7"));
    assertEquals(Optional.empty(), table.route("quotes.example", "/b/7"));
    assertEquals(Optional.empty(), table.route("other.example", "/a/7"));
  }

  @Test
  void should_find_the_organisation_of_a_key() {
    RelayTable table =
        RelayTable.of(Configuration.of(1, List.of(TestRequests.organisation("wanjiru", false))));

    assertEquals("wanjiru", table.organisation("key-of-wanjiru").orElseThrow().name());
    assertTrue(table.organisation("key-of-another").isEmpty());
    assertTrue(RelayTable.of(Configuration.empty()).organisation("key-of-wanjiru").isEmpty());
  }

  @Test
  void should_fault_two_routes_with_the_same_host_and_prefix() {
    assertFaulted("same host and prefix", SERVICE, SHORT, route("other", "/a/"));
  }

  @Test
  void should_fault_an_unknown_service() {
    assertFaulted("no relay-service is named engines", SHORT);
  }

  @Test
  void should_fault_splits_whose_weights_add_up_to_zero() {
    RelayRoute weightless = SHORT.withSplits(List.of(RouteSplit.of("engines", 0)));

    assertFaulted("add up to more than 0", SERVICE, weightless);
  }

  @Test
  void should_fault_a_timeout_of_zero() {
    assertFaulted("must be at least 1", SERVICE, SHORT.withTimeoutMillis(0));
  }

  @Test
  void should_fault_a_key_of_two_organisations() {
    assertFaulted(
        "already belongs to organisation one",
        TestRequests.organisation("one", false).withKeyDigests(List.of("00")),
        TestRequests.organisation("two", false).withKeyDigests(List.of("00")));
  }

  private static void assertFaulted(String expected, PublishedObject... objects) {
    List<ConfigurationFault> faults = ConfigurationChecker.checkObjects(List.of(objects));

    assertEquals(1, faults.size(), faults.toString());
    assertTrue(faults.get(0).toString().contains(expected), faults.toString());
  }

  private static RelayRoute route(String name, String prefix) {
    return TestRequests.route(name, prefix, Execution.STREAM, 0);
  }
}

package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.internal.settings.InvalidSettingsException;
import org.geraniumwharf.relay.ColdBounds;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeSettingsLoaderTest {

  @TempDir Path folder;

  /** Guards against a start that fails where the platform states no bound. */
  @Test
  void should_take_no_orders_to_evacuate_without_their_bound() throws Exception {
    assertEquals(Optional.empty(), load("").evacuation());
    assertEquals(Optional.empty(), load("evacuation-millis =\n").evacuation());
    assertEquals(
        Optional.of(Duration.ofSeconds(5)), load("evacuation-millis = 5000\n").evacuation());
    assertThrows(InvalidSettingsException.class, () -> load("evacuation-millis = 0\n"));
  }

  @Test
  void should_take_the_default_bounds_where_the_platform_names_none() throws Exception {
    NodeSettings settings = load("replaced-weights-millis =\nreplaced-weights-total-millis =\n");

    assertEquals(ReplacedWeights.Bounds.DEFAULT, settings.replacedWeights());
    assertEquals(ReplacedWeights.Bounds.DEFAULT, load("").replacedWeights());
  }

  @Test
  void should_read_the_bounds_of_replaced_weights() throws Exception {
    NodeSettings settings =
        load("replaced-weights-millis = 5000\nreplaced-weights-total-millis = 7000\n");

    assertEquals(
        new ReplacedWeights.Bounds(Duration.ofSeconds(5), Duration.ofSeconds(7)),
        settings.replacedWeights());
  }

  @Test
  void should_learn_costs_only_where_the_settings_say_so() throws Exception {
    assertFalse(load("").isCostLearned());
    assertFalse(load("learned-cost = false\n").isCostLearned());
    assertTrue(load("learned-cost = true\n").isCostLearned());
    assertThrows(InvalidSettingsException.class, () -> load("learned-cost = maybe\n"));
  }

  @Test
  void should_refuse_a_bound_that_is_not_above_zero() {
    assertThrows(InvalidSettingsException.class, () -> load("replaced-weights-millis = 0\n"));
    assertThrows(
        InvalidSettingsException.class, () -> load("replaced-weights-total-millis = soon\n"));
  }

  // Guards against a bound whose margin leaves nothing, so that every target is excluded at once.
  @Test
  void should_refuse_a_total_that_is_not_above_a_quarter_of_the_bound_of_a_stretch() {
    String equal = "replaced-weights-millis = 6000\nreplaced-weights-total-millis = 1500\n";

    InvalidSettingsException refused =
        assertThrows(InvalidSettingsException.class, () -> load(equal));

    assertEquals(
        List.of(
            "[relay] replaced-weights-total-millis: must be above a quarter of"
                + " replaced-weights-millis, 1500 ms, but is 1500 ms"),
        refused.faults());
    assertThrows(
        InvalidSettingsException.class, () -> load("replaced-weights-total-millis = 1000\n"));
    assertThrows(InvalidSettingsException.class, () -> load("replaced-weights-millis = 40000\n"));
  }

  @Test
  void should_take_a_total_just_above_a_quarter_of_the_bound_of_a_stretch() throws Exception {
    NodeSettings settings =
        load("replaced-weights-millis = 6000\nreplaced-weights-total-millis = 1501\n");

    assertEquals(Duration.ofMillis(1501), settings.replacedWeights().inTotal());
  }

  @Test
  void should_not_limit_requests_to_cold_targets_unless_both_keys_have_a_value() throws Exception {
    String overage = "cold-overage = 1.5\n";

    assertEquals(Optional.empty(), load("").coldBounds());
    assertEquals(Optional.empty(), load("cold-overage =\ncold-slack =\n").coldBounds());
    assertEquals(Optional.empty(), load(overage + "cold-slack =\n").coldBounds());
    assertEquals(
        Optional.of(new ColdBounds(1.5, 5)), load(overage + "cold-slack = 5\n").coldBounds());
    assertEquals(
        Optional.of(new ColdBounds(1.5, 0)), load(overage + "cold-slack = 0\n").coldBounds());
  }

  @Test
  void should_refuse_bounds_of_cold_targets_that_are_no_bounds() {
    String slack = "cold-slack = 5\n";

    for (String overage : List.of("0", "-1", "NaN", "Infinity", "much")) {
      assertThrows(
          InvalidSettingsException.class, () -> load("cold-overage = " + overage + "\n" + slack));
    }
    assertThrows(
        InvalidSettingsException.class, () -> load("cold-overage = 1.5\ncold-slack = -1\n"));
  }

  /** Guards against a deployment whose queue changes without a setting. */
  @Test
  void should_have_a_fair_queue_only_where_it_is_switched_on() throws Exception {
    assertFalse(load("").isQueueFair());
    assertFalse(load("fair-queue =\n").isQueueFair());
    assertFalse(load("fair-queue = false\n").isQueueFair());
    assertTrue(load("fair-queue = true\n").isQueueFair());
    assertThrows(InvalidSettingsException.class, () -> load("fair-queue = yes\n"));
  }

  @Test
  void should_know_no_region_where_the_platform_names_none() throws Exception {
    assertEquals(Map.of(), loadRegions("region =\n", "dc-2 =\n").regions());
    assertEquals(Map.of(), load("").regions());
  }

  @Test
  void should_read_the_regions_of_the_data_centres() throws Exception {
    assertEquals(Map.of("dc-1", "north"), loadRegions("region = north\n", "").regions());
    assertEquals(
        Map.of("dc-1", "north", "dc-2", "south"),
        loadRegions("region = north\n", "dc-1 = north\ndc-2 = south\n").regions());
  }

  // Guards against a data centre that counts as being in either of two regions.
  @Test
  void should_refuse_two_regions_of_the_data_centre_of_the_process() {
    InvalidSettingsException refused =
        assertThrows(
            InvalidSettingsException.class,
            () -> loadRegions("region = north\n", "dc-1 = south\n"));

    assertEquals(
        List.of("[data-centres] dc-1: is south but [node] region is north"), refused.faults());
  }

  private NodeSettings loadRegions(String nodeLines, String dataCentreLines)
      throws IOException, InvalidSettingsException {
    return load(nodeLines, "[data-centres]\n" + dataCentreLines);
  }

  private NodeSettings load(String relayLines) throws IOException, InvalidSettingsException {
    return load("", relayLines);
  }

  private NodeSettings load(String nodeLines, String relayLines)
      throws IOException, InvalidSettingsException {
    Path file = folder.resolve("node.ini");
    Files.writeString(
        file,
        "[node]\n"
            + nodeLines
            + """
        name = node-1
        data-centre = dc-1
        bootstrap = false
        cluster-key = a key for tests only
        [listen]
        peer = 10.0.0.1:7700
        entry = 10.0.0.1:7701
        [control]
        seeds = 10.0.0.2:7700
        tolerated-losses = 1
        [relay]
        retry-share = 0.2
        retry-reserve = 50
        """
            + relayLines
            + """
            [shutdown]
            grace-seconds = 6
            """);
    return NodeSettingsLoader.load(file);
  }
}

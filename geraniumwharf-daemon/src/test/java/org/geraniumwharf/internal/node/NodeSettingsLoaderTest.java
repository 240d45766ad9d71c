package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.internal.settings.InvalidSettingsException;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeSettingsLoaderTest {

  @TempDir Path folder;

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

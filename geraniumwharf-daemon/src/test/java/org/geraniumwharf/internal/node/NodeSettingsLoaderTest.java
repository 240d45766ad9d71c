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

  private NodeSettings load(String relayLines) throws IOException, InvalidSettingsException {
    Path file = folder.resolve("node.ini");
    Files.writeString(
        file,
        """
        [node]
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

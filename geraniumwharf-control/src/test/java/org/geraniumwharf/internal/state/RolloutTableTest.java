package org.geraniumwharf.internal.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.state.RolloutAction;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.SteerRolloutCommand;
import org.junit.jupiter.api.Test;

final class RolloutTableTest {

  private final RolloutTable table = new RolloutTable();

  @Test
  void should_open_a_rollout_when_a_publication_changes_the_version() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);

    RolloutRecord record = record();

    assertEquals("v2", record.wanted());
    assertEquals(List.of("v1"), record.replaced());
    assertEquals(RolloutState.ROLLING, record.state());
  }

  @Test
  void should_not_open_a_rollout_when_the_version_is_unchanged() {
    List<RolloutRecord> rollouts = table.openRollouts(configuration("v1"), configuration("v1"), 1);

    assertEquals(List.of(), rollouts);
  }

  @Test
  void should_keep_the_replaced_versions_of_an_unfinished_rollout() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);
    table.openRollouts(configuration("v2"), configuration("v3"), 2);

    assertEquals(List.of("v2", "v1"), record().replaced());
  }

  @Test
  void should_swap_the_wanted_and_the_replaced_version_on_undo() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);

    steer(RolloutAction.UNDO);

    assertEquals("v1", record().wanted());
    assertEquals(List.of("v2"), record().replaced());
  }

  @Test
  void should_stop_after_two_failures_among_few_loads() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);

    table.recordFailure("drafting", "v2", "engine-1 fell silent", 2);
    RolloutState stateAfterOneFailure = record().state();
    table.recordFailure("drafting", "v2", "engine-2 fell silent", 3);

    assertEquals(RolloutState.ROLLING, stateAfterOneFailure);
    assertEquals(RolloutState.STOPPED, record().state());
  }

  @Test
  void should_not_count_failures_of_another_version() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);

    table.recordFailure("drafting", "v1", "engine-1 fell silent", 2);

    assertEquals(0, record().failures());
  }

  @Test
  void should_reject_a_pause_of_a_finished_rollout() {
    table.openRollouts(configuration("v1"), configuration("v2"), 1);
    steer(RolloutAction.FINISH);

    RolloutTable.SteerResult result = steer(RolloutAction.PAUSE);

    assertFalse(result.isApplied());
    assertEquals("a change of version that is done cannot be told to pause", result.message());
  }

  private RolloutTable.SteerResult steer(RolloutAction action) {
    return table.steer(SteerRolloutCommand.of("drafting", action, "someone", 5));
  }

  private RolloutRecord record() {
    return table.byDeployment().get("drafting");
  }

  private static Configuration configuration(String version) {
    return Configuration.of(
        1,
        List.of(Deployment.of("drafting", version, List.of(), 1, 10, List.of(), Optional.empty())));
  }
}

package org.geraniumwharf.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.WeightStore;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;

/**
 * Builds placement snapshots with one weight store, which allows two loads at once, and two
 * versions of a model.
 */
final class PlacementSnapshotBuilder {

  private final List<TargetRecord> engines = new ArrayList<>();
  private final Map<String, RolloutRecord> rollouts = new HashMap<>();
  private final List<PublishedObject> objects =
      new ArrayList<>(
          List.of(
              WeightStore.of("weights", 2, 60_000),
              Model.of("drafter", 16, 4, 16_384),
              ModelVersion.of("v1", "drafter", "weights", "0".repeat(16)),
              ModelVersion.of("v2", "drafter", "weights", "1".repeat(16))));

  static PlacementSnapshotBuilder create() {
    return new PlacementSnapshotBuilder();
  }

  PlacementSnapshotBuilder deployment(
      String name, String version, int min, int max, Optional<Integer> swapFloor) {
    objects.add(Deployment.of(name, version, List.of(), min, max, List.of(), swapFloor));
    return this;
  }

  PlacementSnapshotBuilder engine(String id, String dataCentre, int maxLoaded, String... versions) {
    Announcement announcement =
        Announcement.of(
            id,
            1,
            1,
            "http://127.0.0.1:9",
            dataCentre,
            TargetKind.ENGINE,
            Optional.empty(),
            Optional.empty(),
            Arrays.stream(versions).map(name -> LoadedWeights.of(name, List.of())).toList(),
            Optional.of(Capabilities.of(true, true, true, true, true)),
            Optional.of(EngineProfile.of(8, 20_000, 100, maxLoaded)),
            false,
            Optional.empty(),
            0,
            0);
    engines.add(TargetRecord.of(announcement, false, Optional.empty()));
    return this;
  }

  PlacementSnapshotBuilder engines(int count, String version) {
    for (int i = 1; i <= count; i++) {
      engine("engine-" + i, "dc-1", 1, version);
    }
    return this;
  }

  PlacementSnapshotBuilder rollout(String deployment, RolloutState state) {
    rollouts.put(
        deployment, RolloutRecord.of(deployment, "v2", List.of("v1"), state, false, 0, 0, "", 0));
    return this;
  }

  PlacementSnapshot build() {
    return PlacementSnapshot.of(Configuration.of(1, objects), engines, rollouts);
  }
}

package org.geraniumwharf.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;

/**
 * Model versions that may serve a deployment.
 *
 * @param wanted version that its targets should load
 * @param replaced versions that may serve until the rollout is done, newest first
 */
public record ServableVersions(String wanted, List<String> replaced) {

  public ServableVersions {
    replaced = List.copyOf(replaced);
  }

  /** Returns the versions of a deployment, given its newest rollout. */
  public static ServableVersions of(Deployment deployment, Optional<RolloutRecord> rollout) {
    return rollout
        .map(ServableVersions::of)
        .orElseGet(() -> new ServableVersions(deployment.modelVersion(), List.of()));
  }

  /** Returns the versions that may serve at the present state of a rollout. */
  public static ServableVersions of(RolloutRecord rollout) {
    boolean isDone = rollout.state() == RolloutState.DONE;
    return new ServableVersions(rollout.wanted(), isDone ? List.of() : rollout.replaced());
  }

  /** Returns every version, the wanted one first. */
  public List<String> all() {
    List<String> versions = new ArrayList<>();
    versions.add(wanted);
    versions.addAll(replaced);
    return versions;
  }
}

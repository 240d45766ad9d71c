package org.geraniumwharf.internal.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.placement.ServableVersions;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.RolloutRecord;

/**
 * Checks that a configuration to be published keeps every model version that a deployment may still
 * serve during a rollout.
 */
final class RolloutFaults {

  private RolloutFaults() {}

  static List<ConfigurationFault> check(
      List<RolloutRecord> rollouts, List<PublishedObject> objects) {
    Set<String> deployments = names(objects, Deployment.class);
    Set<String> versions = names(objects, ModelVersion.class);
    List<ConfigurationFault> faults = new ArrayList<>();
    for (RolloutRecord rollout : rollouts) {
      if (deployments.contains(rollout.deployment())) {
        ServableVersions.of(rollout).all().stream()
            .filter(version -> !versions.contains(version))
            .forEach(version -> faults.add(fault(rollout, version)));
      }
    }
    return faults;
  }

  private static ConfigurationFault fault(RolloutRecord rollout, String version) {
    return ConfigurationFault.of(
        "",
        "deployment " + rollout.deployment(),
        "modelVersion",
        "model version "
            + version
            + " still answers for it; keep it published until the change of version is done");
  }

  private static Set<String> names(
      List<PublishedObject> objects, Class<? extends PublishedObject> type) {
    return objects.stream()
        .filter(type::isInstance)
        .map(PublishedObject::name)
        .collect(Collectors.toSet());
  }
}

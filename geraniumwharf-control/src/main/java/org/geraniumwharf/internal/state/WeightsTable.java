package org.geraniumwharf.internal.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.schema.state.NamedWeights;

/** The newest version of each model's weights that an operator named. Versions never decrease. */
final class WeightsTable {

  private final TreeMap<String, NamedWeights> records = new TreeMap<>();

  /**
   * Records a named version.
   *
   * @return the record; empty if it is not newer than the recorded one
   */
  Optional<NamedWeights> recordVersion(NamedWeights named) {
    if (named.version() <= newestVersion(named.model())) {
      return Optional.empty();
    }
    records.put(named.model(), named);
    return Optional.of(named);
  }

  /** Returns the newest named version of a model, or 0 if none was named. */
  long newestVersion(String model) {
    NamedWeights current = records.get(model);
    return current == null ? 0 : current.version();
  }

  List<NamedWeights> records() {
    return List.copyOf(records.values());
  }

  void restore(List<NamedWeights> restored) {
    records.clear();
    restored.forEach(named -> records.put(named.model(), named));
  }
}

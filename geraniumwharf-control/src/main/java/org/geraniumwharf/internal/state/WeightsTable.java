package org.geraniumwharf.internal.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.schema.state.NamedWeights;

/** The newest version of each model's weights that an operator named. Versions only grow. */
final class WeightsTable {

  private final TreeMap<String, NamedWeights> records = new TreeMap<>();

  /** Returns the record if it is newer than the one known. */
  Optional<NamedWeights> recordVersion(NamedWeights named) {
    if (named.version() <= newestVersion(named.model())) {
      return Optional.empty();
    }
    records.put(named.model(), named);
    return Optional.of(named);
  }

  /** Returns the newest named version of a model; 0 when none was named. */
  long newestVersion(String model) {
    NamedWeights known = records.get(model);
    return known == null ? 0 : known.version();
  }

  List<NamedWeights> records() {
    return List.copyOf(records.values());
  }

  void restore(List<NamedWeights> restored) {
    records.clear();
    restored.forEach(named -> records.put(named.model(), named));
  }
}

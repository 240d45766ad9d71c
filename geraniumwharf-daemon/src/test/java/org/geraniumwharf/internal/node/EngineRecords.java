package org.geraniumwharf.internal.node;

import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;

/** Records of engines that hold weights and take requests. */
final class EngineRecords {

  private EngineRecords() {}

  /** Returns the record of an engine with one model. */
  static TargetRecord of(String id, String model, long version) {
    Announcement announcement =
        Announcement.of(
            id,
            1,
            1,
            "http://127.0.0.1:9",
            "dc-1",
            TargetKind.ENGINE,
            Optional.empty(),
            Optional.empty(),
            List.of(LoadedWeights.of(model + "@" + version, List.of())),
            Optional.empty(),
            Optional.empty(),
            false,
            Optional.empty(),
            0,
            0);
    return TargetRecord.of(announcement, false, Optional.empty());
  }
}

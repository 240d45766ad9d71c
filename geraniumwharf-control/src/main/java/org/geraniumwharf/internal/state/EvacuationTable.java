package org.geraniumwharf.internal.state;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuationOutcome;
import org.geraniumwharf.schema.state.EvacuateCommand;
import org.geraniumwharf.schema.state.Evacuation;

/**
 * The data centres whose evacuation was ordered. Records of ended evacuations are kept: their
 * indexes show which orders are too late to be applied.
 */
final class EvacuationTable {

  private final TreeMap<String, Evacuation> records = new TreeMap<>();

  /**
   * Outcome of an order.
   *
   * @param changed the new record; empty if the order changed nothing
   */
  record Result(EvacuateAnswer answer, Optional<Evacuation> changed) {

    private static Result unchanged(EvacuationOutcome outcome, Evacuation current) {
      return new Result(EvacuateAnswer.of(outcome, current.changedIndex()), Optional.empty());
    }
  }

  /**
   * Applies an order. One whose state is in force already is accepted again, since it may be a
   * resend. One that was received before the opposite state came into force is a late copy, and is
   * not applied.
   *
   * @param index index of the log entry of the order
   */
  Result apply(EvacuateCommand command, long index) {
    Evacuation current = records.get(command.dataCentre());
    if (current != null && current.active() == command.active()) {
      return Result.unchanged(EvacuationOutcome.ACCEPTED, current);
    }
    if (current != null && current.changedIndex() > command.receivedIndex()) {
      return Result.unchanged(EvacuationOutcome.OVERTAKEN, current);
    }
    Evacuation changed =
        Evacuation.of(command.dataCentre(), command.active(), index, command.atMillis());
    records.put(changed.dataCentre(), changed);
    return new Result(EvacuateAnswer.of(EvacuationOutcome.ACCEPTED, index), Optional.of(changed));
  }

  boolean contains(String dataCentre) {
    return records.containsKey(dataCentre);
  }

  List<Evacuation> records() {
    return List.copyOf(records.values());
  }

  void restore(List<Evacuation> restored) {
    records.clear();
    restored.forEach(evacuation -> records.put(evacuation.dataCentre(), evacuation));
  }
}

package org.geraniumwharf.quarantine;

import java.util.List;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Log events of prompt parts that are quarantined or released. */
public final class QuarantineEvents {

  private QuarantineEvents() {}

  /** Logs each change as one event. */
  public static void log(EventLog log, List<QuarantineChange> changes) {
    for (QuarantineChange change : changes) {
      if (change.isQuarantined()) {
        log.warn(event("part-quarantined", change));
      } else {
        log.info(event("part-released", change));
      }
    }
  }

  /** Logs each part whose quarantine waits. */
  public static void logWaiting(EventLog log, List<CrashLedger.WaitingPart> parts) {
    for (CrashLedger.WaitingPart waiting : parts) {
      log.info(
          Event.of("part-quarantine-waits")
              .with("part", waiting.part())
              .with("crashes", waiting.crashes())
              .with("cause", "a deeper part of other requests may explain the crashes"));
    }
  }

  private static Event event(String name, QuarantineChange change) {
    return Event.of(name)
        .with("part", change.part())
        .with("crashes", change.crashes())
        .with("cause", change.cause());
  }
}

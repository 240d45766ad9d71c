package org.geraniumwharf.internal.relay;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.fleet.CrashExchange;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.quarantine.PartQuarantine;
import org.geraniumwharf.quarantine.QuarantineEvents;

/** The quarantine of one entry instance, which logs each change of it. Thread-safe. */
public final class LoggedQuarantine implements CrashExchange {

  private final PartQuarantine parts = PartQuarantine.create();
  private final EventLog log;

  private LoggedQuarantine(EventLog log) {
    this.log = log;
  }

  public static LoggedQuarantine create(EventLog log) {
    return new LoggedQuarantine(log);
  }

  Optional<String> findQuarantined(List<String> prompt, Instant now) {
    return parts.findQuarantined(prompt, now);
  }

  boolean isAnySuspected(List<String> prompt, int crashes, Instant now) {
    return parts.isAnySuspected(prompt, crashes, now);
  }

  boolean isProven(List<String> prompt, Instant now) {
    return parts.isProven(prompt, now);
  }

  void recordCrash(String target, long incarnation, List<String> prompt, Instant now) {
    QuarantineEvents.log(log, parts.recordCrash(target, incarnation, prompt, now));
    QuarantineEvents.logWaiting(log, parts.takeWaiting());
  }

  void recordSound(List<String> prompt, Instant now) {
    QuarantineEvents.log(log, parts.recordSound(prompt, now));
  }

  /** Returns the number of parts that this instance refuses. */
  public int size(Instant now) {
    return parts.size(now);
  }

  @Override
  public PartQuarantine.Report report() {
    return parts.report();
  }

  @Override
  public void answered(PartQuarantine.Report sent, PartQuarantine.LeaderLists lists, Instant now) {
    QuarantineEvents.log(log, parts.applyAnswer(sent, lists, now));
  }
}

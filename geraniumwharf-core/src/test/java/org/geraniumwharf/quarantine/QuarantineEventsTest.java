package org.geraniumwharf.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.Test;

class QuarantineEventsTest {

  private final List<String> lines = new ArrayList<>();

  @Test
  void should_log_a_part_whose_quarantine_waits() {
    QuarantineEvents.logWaiting(
        new ListedLog(lines), List.of(new CrashLedger.WaitingPart("first", 3)));

    assertEquals(1, lines.size());
    assertTrue(
        lines.get(0).startsWith("event=part-quarantine-waits part=first crashes=3 "), lines.get(0));
  }

  private record ListedLog(List<String> lines) implements EventLog {

    @Override
    public void info(Event event) {
      lines.add(event.line());
    }

    @Override
    public void warn(Event event) {
      lines.add(event.line());
    }
  }
}

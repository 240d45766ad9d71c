package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.view.FleetView;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the view of an instance tells of evacuations, also after it was out of contact. */
class EvacuatedViewTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);

  private final FleetViewHolder holder = FleetViewHolder.create();
  private final List<String> lines = new ArrayList<>();

  @BeforeEach
  void logEvacuations() {
    ViewReports.logEvacuations(holder, new ListedLog(lines));
  }

  @Test
  void should_apply_a_start_and_an_end_and_log_each_once() {
    apply(snapshot(10));
    FleetFixtures.tellEvacuation(holder, 11, "dc-2", true, NOW);
    Set<String> started = holder.current().evacuated();
    FleetFixtures.tellEvacuation(holder, 12, "dc-3", false, NOW);
    FleetFixtures.tellEvacuation(holder, 13, "dc-2", false, NOW);

    assertEquals(Set.of("dc-2"), started);
    assertEquals(Set.of(), holder.current().evacuated());
    assertEquals(
        List.of(
            "event=evacuation-start-applied dataCentre=dc-2 index=11 from=none ageMillis=0",
            "event=evacuation-end-applied dataCentre=dc-2 index=13 from=none ageMillis=0"),
        lines);
  }

  /** Guards against requests of an instance that was restarted or out of contact for the start. */
  @Test
  void should_learn_of_evacuations_from_a_whole_view() {
    apply(snapshot(10));
    apply(snapshot(20, Evacuation.of("dc-2", true, 15, 0), Evacuation.of("dc-3", false, 16, 0)));

    assertEquals(Set.of("dc-2"), holder.current().evacuated());
    assertEquals(1, lines.size());
  }

  /** Guards against a control instance that is behind and tells of the state before the start. */
  @Test
  void should_keep_an_evacuation_when_an_older_view_arrives() {
    apply(snapshot(20, Evacuation.of("dc-2", true, 15, 0)));
    apply(snapshot(12));

    assertEquals(Set.of("dc-2"), holder.current().evacuated());
  }

  @Test
  void should_report_the_number_of_evacuated_data_centres() {
    DaemonMetrics metrics = DaemonMetrics.create();
    ViewReports.registerGauges(holder, metrics, () -> NOW);
    apply(snapshot(20, Evacuation.of("dc-2", true, 15, 0), Evacuation.of("dc-3", false, 16, 0)));

    String text = metrics.prometheusText();

    assertTrue(text.contains("\ngeraniumwharf_evacuated_data_centres 1\n"), text);
  }

  private void apply(WatchSnapshot snapshot) {
    holder.apply(snapshot, NOW);
  }

  private static WatchSnapshot snapshot(long index, Evacuation... evacuations) {
    return WatchSnapshot.of(
        FleetView.of(index, 1, List.of(), List.of(), List.of(), List.of(), List.of(evacuations)),
        0,
        Optional.empty(),
        List.of());
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

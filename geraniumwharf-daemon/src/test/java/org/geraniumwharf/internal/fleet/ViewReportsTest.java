package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.view.FleetView;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ViewReportsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);

  private final FleetViewHolder holder = FleetViewHolder.create();
  private final List<String> lines = new ArrayList<>();

  @BeforeEach
  void logConfigurations() {
    ViewReports.logConfigurations(holder, new ListedLog(lines));
  }

  @Test
  void should_log_where_a_configuration_came_from_and_how_old_the_message_was() {
    holder.watching("control-1");
    holder.apply(snapshot(10, 4, 40), NOW);

    assertEquals(
        List.of(
            "event=configuration-applied version=4 index=10 from=control-1 ageMillis=40"
                + " unconfirmedMillis=-1"),
        lines);
  }

  @Test
  void should_log_for_how_long_the_view_before_had_not_been_confirmed() {
    holder.apply(snapshot(10, 4, 0), NOW);
    holder.apply(WatchFreshness.of(10, 100, Optional.empty(), List.of()), NOW.plusMillis(400));
    lines.clear();

    holder.watching("control-2");
    holder.apply(snapshot(12, 5, 20), NOW.plusMillis(3000));

    assertEquals(
        List.of(
            "event=configuration-applied version=5 index=12 from=control-2 ageMillis=20"
                + " unconfirmedMillis=2700"),
        lines);
  }

  @Test
  void should_not_log_a_change_that_leaves_the_configuration_as_it_is() {
    holder.apply(snapshot(10, 4, 0), NOW);
    lines.clear();

    holder.apply(snapshot(11, 4, 0), NOW);

    assertEquals(List.of(), lines);
  }

  @Test
  void should_report_the_version_in_force_and_the_age_of_its_confirmation() {
    DaemonMetrics metrics = DaemonMetrics.create();
    ViewReports.registerGauges(holder, metrics, () -> NOW.plusMillis(1500));
    String before = metrics.prometheusText();
    holder.apply(snapshot(10, 4, 500), NOW);

    String after = metrics.prometheusText();

    assertTrue(before.contains("\ngeraniumwharf_view_age_seconds -1.0\n"), before);
    assertTrue(after.contains("\ngeraniumwharf_view_age_seconds 2.0\n"), after);
    assertTrue(after.contains("\ngeraniumwharf_configuration_version 4\n"), after);
    assertTrue(after.contains("\ngeraniumwharf_view_index 10\n"), after);
  }

  private static WatchSnapshot snapshot(long index, long version, long ageMillis) {
    return WatchSnapshot.of(
        FleetView.of(index, version, List.of(), List.of(), List.of(), List.of(), List.of()),
        ageMillis,
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

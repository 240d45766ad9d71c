package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.relay.ColdEnd;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.ViewChange;
import org.junit.jupiter.api.Test;

/** Guards against an end of the cold time that depends on the clock of another process. */
class ColdEndsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final Instant BY_OTHER_CLOCK = NOW.plus(Duration.ofHours(5));

  private final FleetViewHolder holder = FleetViewHolder.create();

  @Test
  void should_count_the_time_left_from_the_arrival_by_the_own_clock() {
    FleetViewHolder other = FleetViewHolder.create();
    other.apply(change(2, target(1, 16, 3000)), BY_OTHER_CLOCK);
    holder.apply(change(2, target(1, 16, 3000)), NOW);

    assertEquals(
        Map.of("engine-1", new ColdEnd(1, NOW.plusMillis(3000))), holder.current().coldEnds());
    assertEquals(
        Map.of("engine-1", new ColdEnd(1, BY_OTHER_CLOCK.plusMillis(3000))),
        other.current().coldEnds());
  }

  @Test
  void should_keep_the_end_while_other_targets_change_and_when_the_view_is_sent_again() {
    holder.apply(change(2, target(1, 16, 3000)), NOW);
    TargetRecord other = TargetRecord.of(announcement(1, 16, 0).withId("engine-2"), false, NONE);

    holder.apply(change(3, other), NOW.plusMillis(800));
    holder.apply(snapshot(4, target(1, 16, 3000)), NOW.plusMillis(1600));

    assertEquals(
        Map.of("engine-1", new ColdEnd(1, NOW.plusMillis(3000))), holder.current().coldEnds());
  }

  @Test
  void should_count_a_target_that_becomes_cold_again_with_the_same_id_anew() {
    holder.apply(change(2, target(1, 16, 3000)), NOW);
    holder.apply(change(3, target(1, 32, 0)), NOW.plusMillis(3000));
    assertEquals(Map.of(), holder.current().coldEnds());

    holder.apply(change(4, target(1, 48, 3000)), NOW.plusMillis(9000));

    assertEquals(
        Map.of("engine-1", new ColdEnd(1, NOW.plusMillis(12_000))), holder.current().coldEnds());
  }

  @Test
  void should_not_take_a_warm_target_to_be_cold_after_a_start() {
    holder.apply(snapshot(7, target(1, 32, 0)), NOW);

    assertEquals(Map.of(), holder.current().coldEnds());
  }

  @Test
  void should_report_an_announcement_in_full_only_if_the_target_or_its_end_changed() {
    holder.apply(change(2, target(1, 16, 3000)), NOW);
    FleetSnapshot view = holder.current();

    assertTrue(view.shows(announcement(1, 32, 2000), NOW.plusMillis(1250)));
    assertTrue(view.shows(announcement(1, 32, 2000), NOW.plusMillis(700)));
    assertFalse(view.shows(announcement(1, 32, 3000), NOW.plusMillis(1000)));
    assertFalse(view.shows(announcement(1, 32, 0), NOW.plusMillis(2900)));
    assertFalse(view.shows(announcement(1, 32, 3000).withSlots(9), NOW));
  }

  @Test
  void should_pass_on_the_time_that_is_left_when_the_heartbeat_is_sent() {
    TargetRegistrations registrations = TargetRegistrations.create(Duration.ofSeconds(5));
    holder.apply(change(2, target(1, 16, 0)), NOW);
    registrations.accept(announcement(1, 32, 1000), NOW);

    assertEquals(
        List.of(600L, 0L),
        List.of(reportedCold(registrations, 400), reportedCold(registrations, 999 + 1)));
  }

  private long reportedCold(TargetRegistrations registrations, long millis) {
    TargetRegistrations.Report report =
        registrations.takeReport(holder.current(), NOW.plusMillis(millis));
    return report.announcements().stream()
        .mapToLong(Announcement::coldMillis)
        .findFirst()
        .orElse(0);
  }

  private static final Optional<OrderRecord> NONE = Optional.empty();

  private static WatchDelta change(long index, TargetRecord target) {
    ViewChange change =
        ViewChange.of(
            index - 1,
            index,
            0,
            List.of(),
            List.of(),
            List.of(target),
            List.of(),
            List.of(),
            List.of());
    return WatchDelta.of(change, 0, Optional.empty());
  }

  private static WatchSnapshot snapshot(long index, TargetRecord target) {
    FleetView view =
        FleetView.of(index, 0, List.of(), List.of(target), List.of(), List.of(), List.of());
    return WatchSnapshot.of(view, 0, Optional.empty(), List.of());
  }

  private static TargetRecord target(long incarnation, long sequence, long coldMillis) {
    return TargetRecord.of(announcement(incarnation, sequence, coldMillis), false, NONE);
  }

  private static Announcement announcement(long incarnation, long sequence, long coldMillis) {
    return Announcement.of(
        "engine-1",
        incarnation,
        sequence,
        "http://10.0.0.1:80",
        "dc-1",
        TargetKind.SERVICE,
        Optional.of("engines"),
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        1,
        coldMillis);
  }
}

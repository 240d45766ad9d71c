package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.Test;

class WeightsLimitTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final RelayTarget OLD = target("engine-1", 1);
  private static final RelayTarget NEW = target("engine-2", 2);
  private static final RelayTarget PLAIN =
      new RelayTarget("plain-1", 1, "10.0.0.3:80", "dc-1", 4, "", 0);

  private final List<String> lines = new ArrayList<>();
  private final DaemonMetrics metrics = DaemonMetrics.create();
  private final FleetViewHolder holder =
      FleetFixtures.holderOfWeights(List.of(), List.of(named(2)), NOW);
  private final WeightsLimit limit =
      WeightsLimit.create(holder, ReplacedWeights.Bounds.DEFAULT, metrics, new LineLog(lines));

  @Test
  void should_exclude_a_target_whose_weights_the_first_view_already_replaced() {
    Instant later = confirmFor(Duration.ofSeconds(5));

    assertTrue(limit.isOverdue(OLD, later));
    assertFalse(limit.isOverdue(NEW, later));
    assertFalse(limit.isOverdue(PLAIN, later));
  }

  @Test
  void should_add_the_time_before_the_start_that_the_first_view_told() {
    FleetViewHolder started =
        FleetFixtures.holderOfWeights(
            List.of(), List.of(named(2)), List.of(NamedDuration.of("model", 2, 3000, 3000)), NOW);
    WeightsLimit limitAfterStart =
        WeightsLimit.create(started, ReplacedWeights.Bounds.DEFAULT, metrics, new LineLog(lines));

    assertEquals(
        Optional.of(Duration.ofMillis(500)), limitAfterStart.timeLeft(OLD, NOW.plusSeconds(1)));
    assertTrue(limitAfterStart.isOverdue(OLD, NOW.plusMillis(1500)));
    assertFalse(limitAfterStart.isOverdue(NEW, NOW.plusMillis(1500)));
  }

  @Test
  void should_take_the_names_of_later_views() {
    FleetFixtures.replaceWeights(holder, List.of(), List.of(named(3)), NOW.plusSeconds(1));
    limit.recordNamed(holder.current());

    Optional<Duration> left = limit.timeLeft(NEW, NOW.plusSeconds(2));

    assertTrue(left.orElseThrow().compareTo(Duration.ofSeconds(4)) < 0);
  }

  @Test
  void should_log_and_count_an_excluded_target_once() {
    Instant later = confirmFor(Duration.ofSeconds(5));

    limit.isOverdue(OLD, later);
    limit.isOverdue(OLD, later);

    assertEquals(1, lines.size());
    assertTrue(
        lines
            .get(0)
            .startsWith(
                "event=target-weights-overdue target=engine-1 incarnation=1 model=model"
                    + " weights=1 namedWeights=2"),
        lines.get(0));
    assertTrue(metrics.prometheusText().contains("weights_overdue_total{kind=\"target\"} 1"));
  }

  /** Guards against a set that keeps an entry for each version that an engine ever held. */
  @Test
  void should_forget_an_excluded_target_that_holds_other_weights_now() {
    Instant later = confirmFor(Duration.ofSeconds(5));
    limit.isOverdue(OLD, later);

    limit.retainTargets(List.of(target("engine-1", 2)));

    assertEquals(0, limit.overdueCount());
  }

  @Test
  void should_keep_an_excluded_target_that_is_still_there() {
    Instant later = confirmFor(Duration.ofSeconds(5));
    limit.isOverdue(OLD, later);

    limit.retainTargets(List.of(OLD, NEW));

    assertEquals(1, limit.overdueCount());
  }

  @Test
  void should_report_that_no_target_may_be_used_only_if_there_are_any() {
    Instant later = confirmFor(Duration.ofSeconds(5));

    assertTrue(limit.isEveryOverdue(List.of(OLD), later));
    assertFalse(limit.isEveryOverdue(List.of(OLD, NEW), later));
    assertFalse(limit.isEveryOverdue(List.of(), later));
  }

  // Guards against engines that are excluded before any order can have been given.
  @Test
  void should_not_count_a_view_that_was_never_confirmed() {
    FleetViewHolder started =
        FleetFixtures.holderOfNeverConfirmed(List.of(), List.of(named(2)), NOW);
    WeightsLimit limitAfterStart =
        WeightsLimit.create(started, ReplacedWeights.Bounds.DEFAULT, metrics, new LineLog(lines));
    for (Instant at = NOW; at.isBefore(NOW.plusSeconds(20)); at = at.plusMillis(250)) {
      FleetFixtures.tellNeverConfirmed(started, at);
    }
    FleetFixtures.replaceWeights(started, List.of(), List.of(named(2)), NOW.plusSeconds(20));

    assertFalse(limitAfterStart.isOverdue(OLD, NOW.plusSeconds(20)));
    assertEquals(
        Optional.of(Duration.ofMillis(3500)), limitAfterStart.timeLeft(OLD, NOW.plusSeconds(21)));
  }

  /**
   * Guards against requests on replaced weights after a loss of all control, whose processes took
   * long to serve after they were started.
   */
  @Test
  void should_count_the_time_in_which_control_was_started_and_did_not_serve() {
    confirmFor(Duration.ofSeconds(1));
    Instant startedAt = NOW.plusSeconds(2);
    Instant served = startedAt.plusSeconds(8);

    FleetFixtures.confirm(holder, Duration.between(startedAt, served), served);

    assertTrue(limit.isOverdue(OLD, served));
  }

  /**
   * Guards against requests on replaced weights while control processes that were started have no
   * lasting leader: they confirm nothing, and their view is older than the entry's.
   */
  @Test
  void should_count_the_time_in_which_started_control_had_no_leader() {
    confirmFor(Duration.ofSeconds(1));
    Instant startedAt = NOW.plusSeconds(2);

    List<Long> overdueMillis = new ArrayList<>();
    for (long up = 0; up <= 8000; up += 250) {
      Instant now = startedAt.plusMillis(up);
      FleetFixtures.tellBehindWithoutLeader(holder, Duration.ofMillis(up), now);
      if (limit.isOverdue(OLD, now)) {
        overdueMillis.add(up);
      }
    }

    // The bound is 6 s from 3 s after the start, less the margin, or a little less by the total.
    assertEquals(7000, overdueMillis.get(0));
  }

  /**
   * Guards against the same after a loss of all processes: an entry that has just started gets its
   * view in pieces before any is confirmed, and learns from none when a version was named.
   */
  @Test
  void should_count_the_start_of_control_for_an_entry_that_was_started_too() {
    FleetViewHolder started =
        FleetFixtures.holderOfNeverConfirmed(List.of(), List.of(named(2)), NOW);
    WeightsLimit startedLimit =
        WeightsLimit.create(started, ReplacedWeights.Bounds.DEFAULT, metrics, new LineLog(lines));

    FleetFixtures.confirm(started, Duration.ofSeconds(8), NOW.plusMillis(100));

    assertTrue(startedLimit.isOverdue(OLD, NOW.plusMillis(100)));
  }

  @Test
  void should_not_count_the_time_without_control_that_was_not_started_lately() {
    confirmFor(Duration.ofSeconds(1));
    Instant served = NOW.plusSeconds(10);

    FleetFixtures.confirm(holder, Duration.ofMinutes(5), served);

    assertFalse(limit.isOverdue(OLD, served));
  }

  private Instant confirmFor(Duration duration) {
    Instant end = NOW.plus(duration);
    for (Instant at = NOW; !at.isAfter(end); at = at.plusMillis(500)) {
      FleetFixtures.replaceWeights(holder, List.of(), List.of(named(2)), at);
    }
    return end;
  }

  private static NamedWeights named(long version) {
    return NamedWeights.of("model", version, NOW.toEpochMilli());
  }

  private static RelayTarget target(String id, long version) {
    return new RelayTarget(id, 1, "10.0.0.1:80", "dc-1", 4, "model", version);
  }

  /** Keeps the lines of a log. */
  private record LineLog(List<String> lines) implements EventLog {

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

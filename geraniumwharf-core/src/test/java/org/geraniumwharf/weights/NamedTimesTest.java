package org.geraniumwharf.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.time.ConfirmedTime;
import org.junit.jupiter.api.Test;

class NamedTimesTest {

  private static final Duration STEP = Duration.ofMillis(100);
  private static final String MODEL = "model";

  private final NamedTimes times = NamedTimes.create();
  private Instant now = Instant.ofEpochSecond(1_000_000);
  private Optional<ConfirmedTime> confirmed = Optional.empty();

  @Test
  void should_tell_how_long_each_version_has_been_named() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofSeconds(3));
    name(3);
    confirmFor(Duration.ofSeconds(1));

    assertEquals(
        List.of(NamedDuration.of(MODEL, 2, 4000, 4000), NamedDuration.of(MODEL, 3, 1000, 1000)),
        told());
  }

  @Test
  void should_tell_nothing_without_a_confirmation_since_the_name() {
    name(2);
    assertTrue(told().isEmpty());

    confirmFor(Duration.ofSeconds(1));
    name(3);
    now = now.plusSeconds(1);

    assertEquals(List.of(2L), told().stream().map(NamedDuration::version).toList());
  }

  // Guards against time without control that excludes engines although no order could be given.
  @Test
  void should_count_only_time_in_which_the_view_was_confirmed() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofSeconds(1));
    now = now.plusSeconds(60);
    confirmFor(Duration.ofSeconds(2));

    NamedDuration told = told().get(0);

    assertEquals(1900, told.stretchMillis());
    assertEquals(1900 + 1000 + ConfirmedTime.MAX_GAP.toMillis(), told.totalMillis());
  }

  @Test
  void should_ignore_a_version_that_is_not_newer() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofSeconds(1));
    name(2);
    name(1);
    confirmFor(Duration.ofSeconds(1));

    assertEquals(List.of(NamedDuration.of(MODEL, 2, 2000, 2000)), told());
  }

  // Guards against names without end that fill the memory.
  @Test
  void should_keep_a_limited_number_of_versions_and_the_newest_old_one() {
    confirmFor(Duration.ofSeconds(1));
    for (long version = 2; version < 1000; version++) {
      name(version);
    }
    confirmFor(Duration.ofMinutes(6));
    name(1000);
    confirmFor(Duration.ofSeconds(1));

    List<NamedDuration> told = told();

    assertEquals(2, told.size());
    assertEquals(65, told.get(0).version());
    assertEquals(NamedDuration.of(MODEL, 1000, 1000, 1000), told.get(1));
  }

  private void name(long version) {
    times.recordNamed(MODEL, version, confirmed, now);
  }

  private void confirmFor(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      confirmed =
          Optional.of(
              confirmed.map(time -> time.confirmed(now)).orElse(ConfirmedTime.startingAt(now)));
    }
  }

  private List<NamedDuration> told() {
    return times.atLastConfirmation(confirmed);
  }
}

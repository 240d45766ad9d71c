package org.geraniumwharf.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.time.ConfirmedTime;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

class ReplacedWeightsTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration IN_STRETCH = Duration.ofSeconds(6);
  private static final Duration IN_TOTAL = Duration.ofMillis(8400);
  private static final Duration MARGIN = Duration.ofMillis(1500);
  private static final Duration SHORTEST_STRETCH = Duration.ofSeconds(2);
  private static final String MODEL = "model";

  private final ReplacedWeights weights =
      ReplacedWeights.within(new ReplacedWeights.Bounds(IN_STRETCH, IN_TOTAL));
  private Optional<ConfirmedTime> confirmed = Optional.empty();
  private Instant now = NOW;

  @Test
  void should_not_limit_the_newest_weights() {
    name(2);
    confirmFor(Duration.ofMinutes(1));

    assertTrue(timeLeft(2).isEmpty());
    assertTrue(timeLeft(3).isEmpty());
  }

  @Test
  void should_not_limit_weights_of_which_no_newer_ones_were_named() {
    assertTrue(timeLeft(1).isEmpty());
  }

  @Test
  void should_end_the_use_of_replaced_weights_a_margin_before_the_bound() {
    confirmFor(Duration.ofSeconds(10));
    name(2);

    confirmFor(Duration.ofSeconds(4));

    assertEquals(IN_STRETCH.minus(MARGIN).minusSeconds(4), timeLeft(1).orElseThrow());
    confirmFor(Duration.ofMillis(500));
    assertEquals(Duration.ZERO, timeLeft(1).orElseThrow());
  }

  // Guards against a count that begins anew with each newer name.
  @Test
  void should_count_from_the_first_newer_name() {
    for (long version = 2; version < 8; version++) {
      name(version);
      confirmFor(Duration.ofSeconds(1));
    }

    assertTrue(isOverdue(1));
    assertTrue(isOverdue(2));
    assertFalse(isOverdue(4));
  }

  @Test
  void should_not_count_time_without_a_confirmed_view() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofSeconds(1));

    now = now.plusSeconds(60);

    assertFalse(isOverdue(1));
  }

  // Guards against a version named right before a loss of control that counts from after it.
  @Test
  void should_count_the_time_in_which_a_confirmation_was_due_for_a_name_that_was_missed() {
    confirmFor(Duration.ofSeconds(1));
    Instant expected = now.plusSeconds(3);
    now = now.plusSeconds(8);
    confirmed = confirmed.map(time -> time.due(now, expected));

    name(2);

    assertTrue(isOverdue(1));
  }

  @Test
  void should_count_a_stretch_anew_after_a_gap() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofMillis(500));
    now = now.plusSeconds(10);

    confirmFor(Duration.ofSeconds(4));

    assertFalse(isOverdue(1));
    confirmFor(Duration.ofMillis(600));
    assertTrue(isOverdue(1));
  }

  @Test
  void should_add_up_stretches() {
    confirmFor(Duration.ofSeconds(1));
    name(2);
    confirmFor(Duration.ofSeconds(4));
    now = now.plusSeconds(10);

    confirmFor(Duration.ofSeconds(3));

    assertTrue(isOverdue(1));
  }

  @Test
  void should_keep_weights_overdue_after_a_gap() {
    name(2);
    confirmFor(Duration.ofSeconds(6));
    assertTrue(isOverdue(1));

    now = now.plusSeconds(10);
    confirmFor(Duration.ofMillis(300));

    assertTrue(isOverdue(1));
  }

  @Test
  void should_add_the_time_that_the_first_view_told() {
    weights.recordNamedBefore(NamedDuration.of(MODEL, 2, 3000, 3000), confirmed, now);
    name(2);
    confirmed = Optional.of(ConfirmedTime.startingAt(now));

    confirmFor(Duration.ofSeconds(1));

    assertEquals(Duration.ofMillis(500), timeLeft(1).orElseThrow());
    assertTrue(timeLeft(2).isEmpty());
  }

  // Guards against an exclusion that comes too early, since the bound counts a stretch anew.
  @Test
  void should_add_only_the_total_that_was_told_after_a_gap() {
    weights.recordNamedBefore(NamedDuration.of(MODEL, 2, 2000, 2000), confirmed, now);
    confirmed = Optional.of(ConfirmedTime.startingAt(now));
    now = now.plusSeconds(10);

    confirmFor(Duration.ofMillis(2500));

    assertFalse(isOverdue(1));
    confirmFor(Duration.ofMillis(600));
    assertTrue(isOverdue(1));
  }

  @Test
  void should_limit_each_version_from_the_first_newer_name_that_was_told() {
    weights.recordNamedBefore(NamedDuration.of(MODEL, 2, 5000, 5000), confirmed, now);
    weights.recordNamedBefore(NamedDuration.of(MODEL, 3, 1000, 1000), confirmed, now);
    confirmed = Optional.of(ConfirmedTime.startingAt(now));

    assertTrue(isOverdue(1));
    assertEquals(Duration.ofMillis(3500), timeLeft(2).orElseThrow());
  }

  // Guards against names without end that fill the memory or free weights from their limit.
  @Test
  void should_limit_weights_among_more_names_than_are_counted_apart() {
    confirmFor(Duration.ofSeconds(1));
    for (long version = 2; version < 1000; version++) {
      name(version);
    }
    confirmFor(Duration.ofSeconds(6));

    assertTrue(isOverdue(1));
    assertTrue(isOverdue(500));
    assertTrue(isOverdue(998));
    assertTrue(timeLeft(999).isEmpty());
  }

  @RepeatedTest(300)
  void should_never_allow_weights_beyond_the_bounds(RepetitionInfo info) {
    Random random = new Random(info.getCurrentRepetition());
    Duration stretch = Duration.ZERO;
    Duration total = Duration.ZERO;
    confirmFor(Duration.ofSeconds(1));
    name(2);

    for (int part = 0; part < 8; part++) {
      for (int step = random.nextInt(45); step > 0; step--) {
        confirmFor(STEP);
        stretch = stretch.plus(STEP);
        Duration counted = stretch.compareTo(SHORTEST_STRETCH) < 0 ? total : total.plus(stretch);
        boolean isBeyond =
            stretch.compareTo(IN_STRETCH.minus(MARGIN)) > 0
                || counted.compareTo(IN_TOTAL.minus(MARGIN)) > 0;
        assertTrue(!isBeyond || isOverdue(1), "seed " + info.getCurrentRepetition());
      }
      total = stretch.compareTo(SHORTEST_STRETCH) < 0 ? total : total.plus(stretch);
      stretch = Duration.ZERO;
      now = now.plusMillis(2100 + random.nextInt(3000));
      if (random.nextBoolean()) {
        name(3 + part);
      }
    }
  }

  // An entry that starts again takes what one that stayed, a control instance, tells.
  @RepeatedTest(300)
  void should_count_no_more_and_hardly_less_after_a_start_than_without(RepetitionInfo info) {
    Random random = new Random(info.getCurrentRepetition());
    NamedTimes told = NamedTimes.create();
    confirmFor(Duration.ofSeconds(1));
    name(2);
    told.recordNamed(MODEL, 2, confirmed, now);
    confirmFor(Duration.ofMillis(100L * random.nextInt(30)));
    if (random.nextBoolean()) {
      now = now.plusMillis(2100 + random.nextInt(3000));
    }
    confirmFor(Duration.ofMillis(100L * random.nextInt(30)));

    Instant at = confirmed.orElseThrow().last();
    ReplacedWeights started =
        ReplacedWeights.within(new ReplacedWeights.Bounds(IN_STRETCH, IN_TOTAL));
    told.atLastConfirmation(confirmed)
        .forEach(named -> started.recordNamedBefore(named, Optional.empty(), at));
    started.recordNamed(MODEL, 2, Optional.empty());
    Optional<ConfirmedTime> since = Optional.of(ConfirmedTime.startingAt(at));

    for (int step = 0; step < 60; step++) {
      confirmFor(STEP);
      since = since.map(time -> time.confirmed(now));
      Duration left = timeLeft(1).orElseThrow();
      Duration leftAfterStart = started.timeLeft(MODEL, 1, since, now).orElseThrow();
      Duration difference = leftAfterStart.minus(left);
      String seed = "seed " + info.getCurrentRepetition() + " " + difference;
      assertFalse(difference.isNegative(), seed);
      assertTrue(difference.compareTo(STEP) <= 0, seed);
    }
  }

  private void name(long version) {
    weights.recordNamed(MODEL, version, confirmed);
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

  private Optional<Duration> timeLeft(long version) {
    return weights.timeLeft(MODEL, version, confirmed, now);
  }

  private boolean isOverdue(long version) {
    return timeLeft(version).filter(Duration.ZERO::equals).isPresent();
  }
}

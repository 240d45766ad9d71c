package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TargetAvailabilityTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final TargetNotice LEAVING = TargetNotice.of(true, Optional.empty());
  private static final RelayTarget TARGET = TestRequests.target("engine-1");

  private final TargetAvailability availability = TargetAvailability.forInstance("entry-1");

  @Test
  void should_close_a_leaving_target_until_a_later_process_of_it() {
    boolean isNews = availability.recordNotice(TARGET, LEAVING, NOW);
    boolean isNewsAgain = availability.recordNotice(TARGET, LEAVING, NOW.plusSeconds(1));

    assertTrue(isNews);
    assertFalse(isNewsAgain);
    assertTrue(availability.isClosed(TARGET, NOW.plusSeconds(3600)));
    assertFalse(isAccepting(availability, TARGET, 0, NOW.plusSeconds(3600)));
    assertEquals(Optional.empty(), opensAt(availability, TARGET, NOW));
    assertFalse(availability.isClosed(laterProcess(), NOW));
    assertTrue(isAccepting(availability, laterProcess(), 5, NOW));
  }

  @Test
  void should_not_let_a_notice_of_an_earlier_process_close_a_later_one() {
    availability.recordNotice(laterProcess(), TargetNotice.of(false, seconds(1)), NOW);

    availability.recordNotice(TARGET, LEAVING, NOW.plusSeconds(5));

    assertTrue(availability.isClosed(laterProcess(), NOW));
  }

  @Test
  void should_keep_a_leaving_target_closed_after_it_was_not_announced_for_a_while() {
    availability.recordNotice(TARGET, LEAVING, NOW);

    availability.retainTargets(Set.of(), NOW.plusSeconds(30));

    assertTrue(availability.isClosed(TARGET, NOW.plusSeconds(30)));
  }

  @Test
  void should_forget_targets_that_are_long_gone() {
    availability.recordNotice(TARGET, LEAVING, NOW);

    availability.retainTargets(Set.of(TARGET.id()), NOW.plusSeconds(3000));
    boolean isClosedWhileAnnounced = availability.isClosed(TARGET, NOW.plusSeconds(3000));
    availability.retainTargets(Set.of(), NOW.plusSeconds(6000));

    assertTrue(isClosedWhileAnnounced);
    assertFalse(availability.isClosed(TARGET, NOW.plusSeconds(6000)));
  }

  @Property
  void should_send_nothing_before_the_end_of_a_pause(
      @ForAll @IntRange(min = 1, max = 200_000) int pauseMillis,
      @ForAll @IntRange(min = 0, max = 200_000) int atMillis,
      @ForAll @IntRange(min = 0, max = 50) int instance) {
    TargetAvailability table = TargetAvailability.forInstance("entry-" + instance);
    Duration pause = Duration.ofMillis(pauseMillis);

    table.recordNotice(TARGET, TargetNotice.of(false, Optional.of(pause)), NOW);

    Duration observed =
        pause.compareTo(TargetNotice.MAX_PAUSE) < 0 ? pause : TargetNotice.MAX_PAUSE;
    Instant at = NOW.plusMillis(atMillis);
    if (at.isBefore(NOW.plus(observed))) {
      assertTrue(table.isClosed(TARGET, at));
      assertFalse(isAccepting(table, TARGET, 0, at));
      assertTrue(opensAt(table, TARGET, at).orElseThrow().isAfter(at));
    } else if (!at.isBefore(NOW.plus(observed).plusMillis(400))) {
      assertTrue(isAccepting(table, TARGET, 0, at));
    }
  }

  @Test
  void should_keep_the_longest_of_several_pauses() {
    availability.recordNotice(TARGET, TargetNotice.of(false, seconds(10)), NOW);
    availability.recordNotice(TARGET, TargetNotice.of(false, seconds(1)), NOW.plusSeconds(1));

    assertTrue(availability.isClosed(TARGET, NOW.plusSeconds(9)));
  }

  @Test
  void should_send_one_request_at_a_time_right_after_a_pause() {
    availability.recordNotice(TARGET, TargetNotice.of(false, seconds(2)), NOW);
    Instant opened = opensAt(availability, TARGET, NOW).orElseThrow();

    assertTrue(isAccepting(availability, TARGET, 0, opened));
    assertFalse(isAccepting(availability, TARGET, 1, opened));
    assertTrue(isAccepting(availability, TARGET, 1, opened.plusSeconds(1)));
  }

  @Test
  void should_not_let_all_instances_return_at_the_same_time() {
    TargetAvailability other = TargetAvailability.forInstance("entry-2");
    TargetNotice pause = TargetNotice.of(false, seconds(2));

    availability.recordNotice(TARGET, pause, NOW);
    other.recordNotice(TARGET, pause, NOW);

    assertNotEquals(opensAt(availability, TARGET, NOW), opensAt(other, TARGET, NOW));
  }

  @Test
  void should_take_a_pause_that_is_not_positive_as_none() {
    assertTrue(TargetNotice.of(false, Optional.of(Duration.ZERO)).isOpen());
    assertTrue(TargetNotice.of(false, Optional.of(Duration.ofSeconds(-1))).isOpen());
  }

  private static RelayTarget laterProcess() {
    return new RelayTarget(
        TARGET.id(),
        TARGET.incarnation() + 1,
        TARGET.address(),
        TARGET.dataCentre(),
        1,
        "model",
        1);
  }

  private static boolean isAccepting(
      TargetAvailability table, RelayTarget target, int inFlight, Instant at) {
    return table.exclusion(target, inFlight, at).isEmpty();
  }

  /** Returns when a target accepts a request; empty if it never does. */
  private static Optional<Instant> opensAt(
      TargetAvailability table, RelayTarget target, Instant at) {
    return table.exclusion(target, 0, at).map(Exclusion::until).orElse(Optional.of(at));
  }

  private static Optional<Duration> seconds(int seconds) {
    return Optional.of(Duration.ofSeconds(seconds));
  }
}

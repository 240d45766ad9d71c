package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WatchPlanTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final List<String> NAMES = List.of("c-1", "c-2", "c-3", "c-4", "c-5");

  private final WatchPlan plan = WatchPlan.start(NOW);

  @Test
  void should_watch_one_instance_while_it_has_news() {
    plan.next(NAMES, true, NOW);
    plan.received("c-1", NOW.plusMillis(500), NOW.plusMillis(600));

    assertEquals(Optional.empty(), plan.next(NAMES, true, NOW.plusMillis(1390)));
  }

  @Test
  void should_count_news_from_its_confirmation() {
    plan.next(NAMES, true, NOW);
    plan.received("c-1", NOW.plusMillis(100), NOW.plusMillis(990));

    assertEquals(Optional.of("c-2"), plan.next(NAMES, true, NOW.plusMillis(1000)));
  }

  @Test
  void should_watch_one_more_at_a_time_while_none_has_news() {
    plan.next(NAMES, true, NOW);

    Optional<String> second = plan.next(NAMES, true, NOW.plusMillis(900));
    Optional<String> tooEarly = plan.next(NAMES, true, NOW.plusMillis(1040));
    Optional<String> third = plan.next(NAMES, true, NOW.plusMillis(1050));

    assertEquals(Optional.of("c-2"), second);
    assertEquals(Optional.empty(), tooEarly);
    assertEquals(Optional.of("c-3"), third);
  }

  @Test
  void should_ask_few_instances_for_a_whole_view_at_the_start() {
    plan.next(NAMES, false, NOW);
    plan.next(NAMES, false, NOW.plusMillis(900));

    Optional<String> tooEarly = plan.next(NAMES, false, NOW.plusMillis(1790));
    Optional<String> third = plan.next(NAMES, false, NOW.plusMillis(1800));

    assertEquals(Optional.empty(), tooEarly);
    assertEquals(Optional.of("c-3"), third);
  }

  /** Guards against an entry that waits for an instance which starts later than the others. */
  @Test
  void should_ask_a_second_instance_early_without_a_view() {
    plan.next(NAMES, false, NOW);

    Optional<String> tooEarly = plan.next(NAMES, false, NOW.plusMillis(140));
    Optional<String> second = plan.next(NAMES, false, NOW.plusMillis(150));
    Optional<String> third = plan.next(NAMES, false, NOW.plusMillis(800));

    assertEquals(Optional.empty(), tooEarly);
    assertEquals(Optional.of("c-2"), second);
    assertEquals(Optional.empty(), third);
  }

  /** Guards against an entry that does not notice that an instance has started meanwhile. */
  @Test
  void should_soon_try_an_instance_again_that_refused_without_a_view() {
    List<String> one = List.of("c-1");
    plan.next(one, false, NOW);
    plan.ended("c-1", NOW);

    Optional<String> tooEarly = plan.next(one, false, NOW.plusMillis(90));
    Optional<String> again = plan.next(one, false, NOW.plusMillis(100));

    assertEquals(Optional.empty(), tooEarly);
    assertEquals(Optional.of("c-1"), again);
  }

  @Test
  void should_give_up_all_others_once_one_has_news() {
    plan.next(NAMES, true, NOW);
    plan.next(NAMES, true, NOW.plusMillis(900));
    plan.next(NAMES, true, NOW.plusMillis(1050));

    assertEquals(
        List.of("c-1", "c-2"), plan.received("c-3", NOW.plusMillis(1000), NOW.plusMillis(1100)));
  }

  @Test
  void should_try_an_instance_that_was_given_up_last_whatever_members_are_learned() {
    plan.next(NAMES.subList(0, 2), true, NOW);
    plan.next(NAMES.subList(0, 2), true, NOW.plusMillis(900));
    plan.received("c-2", NOW.plusMillis(1000), NOW.plusMillis(1000));
    plan.next(List.of("c-1", "c-5", "c-4", "c-3", "c-2"), true, NOW.plusMillis(1000));

    List<String> tried = new ArrayList<>();
    for (int millis = 1900; millis < 3000; millis += 10) {
      plan.next(NAMES, true, NOW.plusMillis(millis)).ifPresent(tried::add);
    }

    assertEquals(List.of("c-1", "c-5", "c-4", "c-3"), tried);
  }

  @Test
  void should_try_the_next_at_once_when_a_watch_ends() {
    plan.next(NAMES, true, NOW);
    plan.ended("c-1", NOW.plusMillis(10));

    assertEquals(Optional.of("c-2"), plan.next(NAMES, true, NOW.plusMillis(10)));
  }

  /** Guards against every daemon staying with the instance that had news first after a loss. */
  @Test
  void should_return_to_the_preferred_instance_once_it_has_news_again() {
    plan.next(NAMES, true, NOW);
    plan.next(NAMES, true, NOW.plusMillis(900));
    plan.received("c-2", NOW.plusMillis(1000), NOW.plusMillis(1000));

    plan.received("c-2", NOW.plusMillis(10_890), NOW.plusMillis(10_890));
    Optional<String> tooEarly = plan.next(NAMES, true, NOW.plusMillis(10_890));
    Optional<String> preferred = plan.next(NAMES, true, NOW.plusMillis(10_900));
    List<String> givenUp = plan.received("c-1", NOW.plusMillis(10_910), NOW.plusMillis(10_920));

    assertEquals(Optional.empty(), tooEarly);
    assertEquals(Optional.of("c-1"), preferred);
    assertEquals(List.of("c-2"), givenUp);
  }

  @Test
  void should_stay_while_the_preferred_instance_has_no_news() {
    plan.next(NAMES, true, NOW);
    plan.next(NAMES, true, NOW.plusMillis(900));
    plan.received("c-2", NOW.plusMillis(1000), NOW.plusMillis(1000));

    plan.received("c-2", NOW.plusMillis(10_890), NOW.plusMillis(10_890));
    plan.next(NAMES, true, NOW.plusMillis(10_900));
    List<String> givenUp = plan.received("c-2", NOW.plusMillis(11_000), NOW.plusMillis(11_000));

    assertEquals(List.of("c-1"), givenUp);
    assertEquals(Optional.empty(), plan.next(NAMES, true, NOW.plusMillis(11_200)));
  }

  /**
   * Whichever two of five instances are lost, and again after they changed, a view is confirmed at
   * most 1.5 s before: three quarters of {@code config_apply_ms}, 2 s.
   */
  @Test
  void should_hear_news_in_time_whichever_two_instances_are_lost() {
    for (long seed = 0; seed < 3000; seed++) {
      Duration oldest = new FakeControl(new Random(seed)).play();

      assertTrue(
          oldest.compareTo(Duration.ofMillis(1500)) <= 0,
          "seed " + seed + ": the view was confirmed " + oldest + " ago");
    }
  }

  /** What a lost instance does. */
  private enum Loss {
    SILENT,
    SLOW,
    BEHIND,
    CUT_OFF,
    GONE
  }

  /** Five instances of which at most two are lost at a time, seen by one watcher. */
  private static final class FakeControl {

    private static final List<Loss> LOSSES = List.of(Loss.values());
    private static final int STEP_MILLIS = 10;
    private static final int PHASE_MILLIS = 5000;
    private static final int PHASES = 8;

    /** Time that a connection to a silent instance takes to be given up. */
    private static final int HANGING_MILLIS = 4000;

    private static final int MESSAGE_MILLIS = 250;
    private static final int HEARTBEAT_MILLIS = 150;

    private final Random random;
    private final Map<String, Loss> lost = new HashMap<>();
    private final Map<String, Instant> lostAt = new HashMap<>();
    private final Map<String, Instant> openAt = new HashMap<>();
    private final Map<String, Instant> hangsUntil = new HashMap<>();
    private final Set<String> watched = new HashSet<>();
    private final Map<String, Integer> connectMillis = new HashMap<>();
    private final WatchPlan plan = WatchPlan.start(NOW);
    private Instant confirmedAt = NOW;

    FakeControl(Random random) {
      this.random = random;
      NAMES.forEach(name -> connectMillis.put(name, 5 + random.nextInt(60)));
    }

    /** Returns the greatest time since the view was confirmed. */
    Duration play() {
      Duration oldest = Duration.ZERO;
      for (int millis = 0; millis < PHASES * PHASE_MILLIS; millis += STEP_MILLIS) {
        Instant now = NOW.plusMillis(millis);
        if (millis % PHASE_MILLIS == 0) {
          loseOthers(now);
        }
        start(now);
        deliver(now, millis);
        Duration age = Duration.between(confirmedAt, now);
        oldest = age.compareTo(oldest) > 0 ? age : oldest;
      }
      return oldest;
    }

    private void loseOthers(Instant now) {
      lost.clear();
      lostAt.clear();
      List<String> names = new ArrayList<>(NAMES);
      Collections.shuffle(names, random);
      for (String name : names.subList(0, random.nextInt(3))) {
        lost.put(name, LOSSES.get(random.nextInt(LOSSES.size())));
        lostAt.put(name, now);
      }
    }

    private void start(Instant now) {
      Optional<String> next = plan.next(NAMES, true, now);
      if (next.isEmpty()) {
        return;
      }
      String name = next.get();
      if (now.isBefore(hangsUntil.getOrDefault(name, Instant.MIN))) {
        plan.ended(name, now);
        return;
      }
      watched.add(name);
      openAt.put(name, now.plusMillis(connectMillis.get(name)));
      if (lost.get(name) == Loss.SILENT) {
        hangsUntil.put(name, now.plusMillis(HANGING_MILLIS));
        openAt.put(name, now.plusMillis(HANGING_MILLIS));
      }
    }

    private void deliver(Instant now, int millis) {
      for (String name : NAMES) {
        if (!watched.contains(name) || now.isBefore(openAt.get(name))) {
          continue;
        }
        if (lost.get(name) == Loss.GONE) {
          watched.remove(name);
          plan.ended(name, now);
        } else if (isDue(name, now, millis)) {
          receive(name, now, millis);
        }
      }
    }

    private boolean isDue(String name, Instant now, int millis) {
      Loss loss = lost.get(name);
      boolean isFirst = now.equals(openAt.get(name));
      int interval = loss == Loss.SLOW ? 4 * MESSAGE_MILLIS : MESSAGE_MILLIS;
      return loss != Loss.SILENT
          && loss != Loss.BEHIND
          && ((isFirst && loss != Loss.SLOW) || millis % interval == 0);
    }

    private void receive(String name, Instant now, int millis) {
      Instant heartbeatAt = now.minusMillis(millis % HEARTBEAT_MILLIS + HEARTBEAT_MILLIS);
      Instant confirmed = lost.get(name) == Loss.CUT_OFF ? lostAt.get(name) : heartbeatAt;
      confirmed = confirmed.isAfter(heartbeatAt) ? heartbeatAt : confirmed;
      confirmedAt = confirmed.isAfter(confirmedAt) ? confirmed : confirmedAt;
      watched.removeAll(plan.received(name, confirmed, now));
    }
  }
}

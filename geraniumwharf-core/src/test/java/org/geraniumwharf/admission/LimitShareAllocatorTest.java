package org.geraniumwharf.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.messages.OrganisationDemand;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.OrganisationLimits;
import org.junit.jupiter.api.Test;

class LimitShareAllocatorTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final int LIMIT = 200;
  private static final Organisation ORGANISATION =
      Organisation.of(
          "one",
          List.of(),
          List.of(),
          1,
          Optional.of(OrganisationLimits.of(LIMIT, 1_000_000, 10_000)),
          List.of(),
          Optional.empty(),
          false,
          List.of());

  private final LimitShareAllocator shares = LimitShareAllocator.create();

  @Test
  void should_never_allocate_more_than_the_whole_limit() {
    double[] held = new double[4];
    for (int round = 0; round < 200; round++) {
      int daemon = round % 4;
      double demand = round % 3 == 0 ? 1000 : round;
      held[daemon] = share("daemon-" + daemon, demand, START.plusMillis(round * 100L));

      double sum = held[0] + held[1] + held[2] + held[3];
      assertTrue(sum <= 1 + 1e-9, "sum " + sum + " in round " + round);
    }
  }

  @Test
  void should_reserve_the_share_of_an_unresponsive_daemon_until_it_expires() {
    share("daemon-0", 5 * LIMIT, START.minusMillis(500));
    share("daemon-0", 5 * LIMIT, START);

    double before = share("daemon-1", 5 * LIMIT, START.plusSeconds(2));
    double after = share("daemon-1", 5 * LIMIT, START.plusSeconds(4));

    assertTrue(before > 0 && before < 0.1, "share " + before);
    assertTrue(after > 0.9, "share " + after);
  }

  @Test
  void should_reserve_an_equal_part_of_what_nobody_needs_for_a_daemon_without_demand() {
    share("daemon-0", LIMIT / 5, START.minusMillis(1000));
    share("daemon-1", 0, START.minusMillis(900));
    double busy = share("daemon-0", LIMIT / 5, START.minusMillis(500));

    double idle = share("daemon-1", 0, START);

    assertEquals(0.2 + 0.8 / 4, busy, 1e-9);
    assertEquals(0.8 / 4, idle, 1e-9);
  }

  @Test
  void should_allocate_equal_shares_when_load_starts_at_several_daemons_at_once() {
    double first = share("daemon-0", 100, START);

    double second = share("daemon-1", 100, START.plusMillis(100));

    assertEquals(first, second, 1e-9);
    assertTrue(second >= 0.95 / 4, "share " + second);
  }

  /** Guards against rejecting a first burst while the organisation is far below its limit. */
  @Test
  void should_admit_an_equal_share_in_a_first_burst() {
    OrganisationLimiter limiter = OrganisationLimiter.create();
    limiter.applyShares(4, List.of(), START);
    int admitted = 0;
    for (int i = 0; i < 50; i++) {
      admitted += isAdmitted(limiter, START) ? 1 : 0;
    }

    assertEquals(LIMIT / 4 / 2, admitted);
  }

  @Test
  void should_admit_within_ten_percent_of_the_limit_with_even_traffic() {
    assertEquals(LIMIT, admittedPerSecond(new int[] {100, 100, 100, 100}, true), LIMIT * 0.1);
  }

  @Test
  void should_admit_within_ten_percent_of_the_limit_with_skewed_traffic() {
    assertEquals(LIMIT, admittedPerSecond(new int[] {400, 20, 0, 0}, true), LIMIT * 0.1);
  }

  @Test
  void should_exceed_the_limit_by_at_most_ten_percent_without_a_leader() {
    double admitted = admittedPerSecond(new int[] {400, 400, 400, 400}, false);

    assertTrue(admitted <= LIMIT * 1.1, "admitted " + admitted);
  }

  private double share(String daemon, double demand, Instant now) {
    return shares
        .allocate(daemon, List.of(OrganisationDemand.of("one", demand, demand / LIMIT)), 4, now)
        .get(0)
        .fraction();
  }

  /**
   * Offers a constant request rate to each daemon for 20 s and returns the admitted requests per
   * second over the last 10 s.
   *
   * @param offered requests per second at each daemon
   */
  private double admittedPerSecond(int[] offered, boolean isLeaderAlive) {
    List<OrganisationLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < offered.length; i++) {
      limiters.add(OrganisationLimiter.create());
      limiters.get(i).applyShares(offered.length, List.of(), START);
    }
    int admitted = 0;
    for (int millis = 0; millis < 20_000; millis++) {
      Instant now = START.plusMillis(millis);
      for (int i = 0; i < offered.length; i++) {
        OrganisationLimiter limiter = limiters.get(i);
        if (isLeaderAlive && millis % 500 == i * 100) {
          limiter.applyShares(
              offered.length,
              shares.allocate("d" + i, limiter.drainDemands(now), offered.length, now),
              now);
        }
        boolean isOffered = millis * offered[i] / 1000 != (millis + 1) * offered[i] / 1000;
        if (isOffered && isAdmitted(limiter, now) && millis >= 10_000) {
          admitted++;
        }
      }
    }
    return admitted / 10.0;
  }

  private static boolean isAdmitted(OrganisationLimiter limiter, Instant now) {
    try {
      limiter.acquire(ORGANISATION, 1, now);
      limiter.release(ORGANISATION);
      return true;
    } catch (ServingException e) {
      return false;
    }
  }
}

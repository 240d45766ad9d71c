package org.geraniumwharf.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.messages.OrganisationDemand;
import org.geraniumwharf.schema.messages.OrganisationShare;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.OrganisationLimits;

/**
 * Entry instances whose callers ask one request after another, at a tenth of the organisation's
 * limit together, while heartbeats fetch shares from a leader that may freeze.
 */
final class LimitSharesSimulation {

  private static final int REQUESTS_PER_SECOND = 1000;
  private static final int ENTRIES = 3;
  private static final int CALLERS_PER_ENTRY = 4;
  private static final int PAUSE_MILLIS = 60;
  private static final int HEARTBEAT_MILLIS = 500;
  private static final int CALL_TIMEOUT_MILLIS = 2000;
  private static final int DURATION_MILLIS = 25_000;
  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final Organisation ORGANISATION =
      Organisation.of(
          "one",
          List.of(),
          List.of(),
          1,
          Optional.of(OrganisationLimits.of(REQUESTS_PER_SECOND, 1_000_000, 1000)),
          List.of(),
          Optional.empty(),
          false,
          List.of());

  private final Random random;
  private final Faults faults;
  private final List<Entry> entries = new ArrayList<>();
  private LimitShareAllocator allocator = LimitShareAllocator.create();
  private int leaderSince = -10_000;
  private int refused;

  private LimitSharesSimulation(long seed, Faults faults) {
    this.random = new Random(seed);
    this.faults = faults;
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry("entry-" + i, i > 0));
    }
  }

  /**
   * What happens in a run.
   *
   * @param leaderFreezes whether the leader freezes, and another is elected within two seconds
   * @param announcements whether announcements of targets send heartbeats early
   * @param stalls whether all requests of an entry wait for their answers for up to four seconds
   */
  record Faults(boolean leaderFreezes, boolean announcements, boolean stalls) {}

  /** Returns the number of refused requests. */
  static int run(long seed, Faults faults) {
    LimitSharesSimulation simulation = new LimitSharesSimulation(seed, faults);
    simulation.run();
    return simulation.refused;
  }

  private void run() {
    int frozenAt = faults.leaderFreezes() ? 5000 + random.nextInt(1000) : Integer.MAX_VALUE;
    int electedAt = faults.leaderFreezes() ? frozenAt + 500 + random.nextInt(1500) : -1;
    for (int millis = 0; millis < DURATION_MILLIS; millis++) {
      if (millis == electedAt) {
        allocator = LimitShareAllocator.create();
        leaderSince = millis;
      }
      boolean isLeaderThere = millis < frozenAt || millis >= electedAt;
      boolean isAnnounced = faults.announcements() && random.nextInt(150) == 0;
      for (Entry entry : entries) {
        entry.step(millis, isLeaderThere, isAnnounced);
      }
    }
  }

  private final class Entry {

    private final String name;
    private final OrganisationLimiter limiter = OrganisationLimiter.create();
    private final boolean isLoaded;
    private final int[] askAt = new int[CALLERS_PER_ENTRY];
    private final int[] answeredAt = new int[CALLERS_PER_ENTRY];
    private int heartbeatAt = random.nextInt(HEARTBEAT_MILLIS);
    private int heartbeatGivenUpAt = -1;
    private int stalledUntil;
    private List<OrganisationDemand> demands = List.of();

    Entry(String name, boolean isLoaded) {
      this.name = name;
      this.isLoaded = isLoaded;
      limiter.applyShares(ENTRIES, List.of(), START);
      for (int i = 0; i < CALLERS_PER_ENTRY; i++) {
        askAt[i] = 500 + random.nextInt(200);
        answeredAt[i] = -1;
      }
    }

    void step(int millis, boolean isLeaderThere, boolean isAnnounced) {
      Instant now = START.plusMillis(millis);
      sendHeartbeat(millis, isLeaderThere, isAnnounced, now);
      if (faults.stalls() && random.nextInt(8000) == 0) {
        stalledUntil = millis + random.nextInt(4000);
      }
      for (int i = 0; isLoaded && i < CALLERS_PER_ENTRY; i++) {
        if (millis == askAt[i]) {
          ask(i, millis, now);
        } else if (answeredAt[i] >= 0 && millis >= Math.max(answeredAt[i], stalledUntil)) {
          limiter.release(ORGANISATION);
          answeredAt[i] = -1;
          askAt[i] = millis + PAUSE_MILLIS;
        }
      }
    }

    private void ask(int caller, int millis, Instant now) {
      try {
        limiter.acquire(ORGANISATION, 100, now);
        answeredAt[caller] = millis + 10 + random.nextInt(60);
      } catch (ServingException e) {
        refused++;
        askAt[caller] = millis + PAUSE_MILLIS;
      }
    }

    private void sendHeartbeat(
        int millis, boolean isLeaderThere, boolean isAnnounced, Instant now) {
      boolean isWaiting = heartbeatGivenUpAt >= 0;
      if (!isWaiting && (millis >= heartbeatAt || isAnnounced)) {
        demands = limiter.drainDemands(now);
        heartbeatGivenUpAt = millis + CALL_TIMEOUT_MILLIS;
        isWaiting = true;
      }
      boolean isAnswered = isWaiting && isLeaderThere;
      if (isAnswered) {
        limiter.applyShares(ENTRIES, sharesOfLeader(millis, now), now);
      }
      if (isAnswered || (isWaiting && millis >= heartbeatGivenUpAt)) {
        heartbeatGivenUpAt = -1;
        heartbeatAt = millis + HEARTBEAT_MILLIS;
      }
    }

    private List<OrganisationShare> sharesOfLeader(int millis, Instant now) {
      boolean isNewLeader = millis < leaderSince + LimitShareAllocator.VALIDITY.toMillis();
      return isNewLeader ? List.of() : allocator.allocate(name, demands, ENTRIES, now);
    }
  }
}

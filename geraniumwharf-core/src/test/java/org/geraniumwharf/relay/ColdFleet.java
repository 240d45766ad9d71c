package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.objects.ColdLimit;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * Replays entry instances that share cold targets, and the leaders that rank them. Each process has
 * a clock of its own that differs from all others by up to an hour.
 */
final class ColdFleet {

  static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);
  static final long STEP_MILLIS = 10;
  private static final long HEARTBEAT_MILLIS = 150;
  private static final long MAX_ANSWER_MILLIS = 400;
  private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 3_600_000;
  private static final Duration DAEMON_LEASE = Duration.ofSeconds(3);

  private final Random random;
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, List<Long>> sendsByTarget = new HashMap<>();
  private final Map<String, Long> coldUntilMillis = new HashMap<>();
  private Optional<Leader> leader = Optional.empty();
  private double lossShare;
  private long nowMillis;

  ColdFleet(long seed) {
    this.random = new Random(seed);
  }

  static RelayService service(double rate) {
    return RelayService.of(
        "engines", Optional.empty(), 300, Optional.empty(), Optional.of(ColdLimit.of(3000, rate)));
  }

  /** A leader, which may be cut off from its quorum. */
  final class Leader {

    private final Instant zero = differingClock();
    private final EntryRanks ranks = EntryRanks.ofLeaderSince(clock());
    private final Map<String, Instant> heardAt = new HashMap<>();
    private Optional<Instant> cutOffAt = Optional.empty();

    private Instant clock() {
      return zero.plusMillis(nowMillis);
    }

    void cutOff() {
      cutOffAt = Optional.of(clock());
    }

    private Optional<EntryRank> answer(String instance) {
      Instant now = clock();
      heardAt.put(instance, now);
      Duration confirmedAge =
          cutOffAt.map(since -> Duration.between(since, now)).orElse(Duration.ZERO);
      return ranks.rank(instance, () -> live(now), confirmedAge, now);
    }

    private Set<String> live(Instant now) {
      return heardAt.entrySet().stream()
          .filter(heard -> now.isBefore(heard.getValue().plus(DAEMON_LEASE)))
          .map(Map.Entry::getKey)
          .collect(Collectors.toSet());
    }
  }

  /** An entry instance. */
  final class Entry {

    private final String name;
    private final Instant zero = differingClock();
    private final ColdTargets cold = ColdTargets.within(Optional.of(BOUNDS), now());
    private final RelayLoadTable load;
    private Optional<Leader> asked = leader;
    private long nextHeartbeat = nowMillis + random.nextLong(HEARTBEAT_MILLIS);
    private long answerDue = Long.MAX_VALUE;
    private Optional<EntryRank> answer = Optional.empty();
    private Instant askedAt = Instant.MIN;

    private Entry(String name) {
      this.name = name;
      this.load = RelayLoadTable.create(name, TargetPermits.create(name, () -> {}), cold);
      coldUntilMillis.forEach((target, until) -> recordCold(target, until));
    }

    String name() {
      return name;
    }

    Instant now() {
      return zero.plusMillis(nowMillis);
    }

    ColdTargets cold() {
      return cold;
    }

    RelayLoadTable load() {
      return load;
    }

    /** Goes on asking a leader that may have been replaced. */
    void ask(Leader other) {
      asked = Optional.of(other);
    }

    private void recordCold(String target, long until) {
      ends.put(target, new ColdEnd(1, zero.plusMillis(until)));
      cold.replaceAnnounced(ends);
    }

    private final Map<String, ColdEnd> ends = new HashMap<>();

    private void step() {
      if (nowMillis >= answerDue) {
        cold.recordRank(answer, askedAt);
        answerDue = Long.MAX_VALUE;
        nextHeartbeat = nowMillis + HEARTBEAT_MILLIS;
      }
      if (nowMillis >= nextHeartbeat) {
        heartbeat();
      }
    }

    private void heartbeat() {
      boolean isLost = asked.isEmpty() || random.nextDouble() < lossShare;
      nextHeartbeat = isLost ? nowMillis + HEARTBEAT_MILLIS : Long.MAX_VALUE;
      if (!isLost) {
        askedAt = now();
        answer = asked.get().answer(name);
        answerDue = nowMillis + random.nextLong(MAX_ANSWER_MILLIS);
      }
    }

    /** Sends a request if the target may get it. */
    boolean trySend(RelayTarget target, RelayService service) {
      boolean isSent = cold.trySend(target, service, now());
      if (isSent) {
        recordSend(target);
      }
      return isSent;
    }

    void recordSend(RelayTarget target) {
      sendsByTarget.computeIfAbsent(target.id(), id -> new ArrayList<>()).add(nowMillis);
    }
  }

  private Instant differingClock() {
    return TestRequests.NOW.plusMillis(random.nextLong(MAX_CLOCK_DIFFERENCE_MILLIS));
  }

  Leader elect() {
    Leader elected = new Leader();
    leader = Optional.of(elected);
    entries.values().forEach(entry -> entry.ask(elected));
    return elected;
  }

  void loseLeader() {
    leader = Optional.empty();
    entries.values().forEach(entry -> entry.asked = Optional.empty());
  }

  /** Sets the share of heartbeats that are lost, so that ranks become old. */
  void loseHeartbeats(double share) {
    lossShare = share;
  }

  /** Starts an instance, or starts it again with its name. */
  Entry start(String name) {
    Entry started = new Entry(name);
    entries.put(name, started);
    return started;
  }

  void start(int count) {
    for (int i = 0; i < count; i++) {
      start("entry-" + i);
    }
  }

  void stop(String name) {
    entries.remove(name);
  }

  List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Makes a target cold from now on, for all instances at once. */
  void makeCold(String target, Duration left) {
    long until = nowMillis + left.toMillis();
    coldUntilMillis.put(target, until);
    entries.values().forEach(entry -> entry.recordCold(target, until));
  }

  long nowMillis() {
    return nowMillis;
  }

  Random random() {
    return random;
  }

  /** Lets time pass, and runs an action at each step. */
  void run(Duration time, Runnable atEachStep) {
    long end = nowMillis + time.toMillis();
    while (nowMillis < end) {
      entries().forEach(Entry::step);
      atEachStep.run();
      nowMillis += STEP_MILLIS;
    }
  }

  /** Returns the most requests that one target got in any one second since a time. */
  int mostInOneSecond(long fromMillis) {
    return sendsByTarget.values().stream()
        .mapToInt(sends -> mostInOneSecond(sends, fromMillis))
        .max()
        .orElse(0);
  }

  /** Returns the most requests that a target got in any one second since a time. */
  int mostInOneSecond(String target, long fromMillis) {
    return mostInOneSecond(sendsByTarget.getOrDefault(target, List.of()), fromMillis);
  }

  private static int mostInOneSecond(List<Long> sends, long fromMillis) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sends.size(); last++) {
      while (sends.get(last) - sends.get(first) >= 1000 || sends.get(first) < fromMillis) {
        if (first == last) {
          break;
        }
        first++;
      }
      if (sends.get(last) >= fromMillis) {
        most = Math.max(most, last - first + 1);
      }
    }
    return most;
  }

  int sendsTo(String target, long fromMillis) {
    return (int)
        sendsByTarget.getOrDefault(target, List.of()).stream()
            .filter(at -> at >= fromMillis)
            .count();
  }
}

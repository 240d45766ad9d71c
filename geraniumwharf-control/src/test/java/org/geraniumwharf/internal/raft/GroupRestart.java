package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PruneCommand;

/**
 * A group with a log that loses all of its replicas, or one, and starts them again; determined by
 * its seed. The network loses, delays and duplicates messages.
 */
final class GroupRestart {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);
  private static final Duration STEP = Duration.ofMillis(5);
  private static final Duration LIMIT = Duration.ofSeconds(5);

  /** Spread of the starts of the processes. */
  private static final int MAX_START_DELAY_MILLIS = 150;

  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private Instant now = START;

  GroupRestart(long seed) {
    this.random = new SplittableRandom(seed);
    this.network = new SimulatedNetwork(random.split());
    List<String> names = new ArrayList<>();
    for (int i = 0; i < (seed % 2 == 0 ? 3 : 5); i++) {
      names.add("replica-" + i);
    }
    SafetyChecker checker = new SafetyChecker();
    for (String name : names) {
      replicas.add(
          new SimulatedReplica(
              name, Membership.of(names, List.of()), random.split(), network, checker));
    }
    replicas.forEach(replica -> replica.start(now));
    awaitLeader();
    for (int i = 0; i < 10; i++) {
      leader().ifPresent(found -> found.propose(PruneCommand.of(0, 0, 1), answer -> {}, now));
      run(Duration.ofMillis(20));
    }
  }

  /**
   * Crashes every replica, starts all but some again at about the same time, and returns the time
   * from the moment at which a quorum is up until a leader leads that still does so a second later.
   *
   * @param missing replicas that do not return; fewer than half
   */
  Duration restartAll(int missing) {
    replicas.forEach(SimulatedReplica::crash);
    run(Duration.ofMillis(500 + random.nextInt(500)));
    List<Instant> starts = new ArrayList<>();
    int first = random.nextInt(replicas.size());
    List<SimulatedReplica> returning = new ArrayList<>();
    for (int i = 0; i < replicas.size() - missing; i++) {
      returning.add(replicas.get((first + i) % replicas.size()));
      starts.add(now.plusMillis(random.nextInt(MAX_START_DELAY_MILLIS)));
    }
    Instant quorumAt = starts.stream().sorted().toList().get(replicas.size() / 2);
    Instant end = now.plus(LIMIT);
    Optional<SimulatedReplica> leader = Optional.empty();
    Instant since = Instant.MAX;
    while (now.isBefore(end)) {
      for (int i = 0; i < returning.size(); i++) {
        if (!returning.get(i).isUp() && !now.isBefore(starts.get(i))) {
          returning.get(i).start(now);
        }
      }
      step();
      if (!leader().equals(leader)) {
        leader = leader();
        since = leader.isPresent() ? now : Instant.MAX;
      }
      if (leader.isPresent() && now.isAfter(since.plusSeconds(1))) {
        return Duration.between(quorumAt, since);
      }
    }
    return LIMIT;
  }

  /** Restarts one replica that does not lead and returns whether another leader or term came. */
  boolean isDisturbedByOne() {
    SimulatedReplica leader = leader().orElseThrow();
    long term = leader.core().term();
    SimulatedReplica restarted =
        replicas.stream().filter(replica -> !replica.isLeader()).findAny().orElseThrow();
    restarted.crash();
    run(Duration.ofMillis(random.nextInt(1000)));
    restarted.start(now);
    run(Duration.ofSeconds(3));
    return !leader().equals(Optional.of(leader))
        || replicas.stream().anyMatch(replica -> replica.core().term() != term);
  }

  void awaitLeader() {
    Instant end = now.plus(LIMIT);
    while (leader().isEmpty() && now.isBefore(end)) {
      step();
    }
    run(Duration.ofMillis(500));
  }

  void becomeReliable() {
    network.becomeReliable();
  }

  private Optional<SimulatedReplica> leader() {
    return replicas.stream().filter(SimulatedReplica::isLeader).findFirst();
  }

  private void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      step();
    }
  }

  private void step() {
    now = now.plus(STEP);
    for (SimulatedNetwork.Delivery delivery : network.due(now)) {
      replicas.stream()
          .filter(replica -> replica.name().equals(delivery.to()))
          .forEach(replica -> replica.receive(delivery.message(), now));
    }
    replicas.forEach(replica -> replica.tick(now));
  }
}

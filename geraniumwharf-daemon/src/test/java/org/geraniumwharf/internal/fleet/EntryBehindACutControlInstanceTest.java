package org.geraniumwharf.internal.fleet;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an entry that stays on an older version because it waits for control instances
 * that have no news: cut off from the others, or accepting a connection and saying nothing.
 */
class EntryBehindACutControlInstanceTest {

  /** {@code config_apply_ms} of the users' sheet. */
  private static final Duration CONFIG_APPLY = Duration.ofSeconds(2);

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(20);
  private static final int INSTANCES = 5;

  private final ClusterKey key = ClusterKey.of("a key for tests only");
  private final MonotonicClock clock = MonotonicClock.create();
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final FleetViewHolder holder = FleetViewHolder.create();
  private final List<StandInControl> instances = new ArrayList<>();
  private PeerNetwork network;
  private PeerLinks links;
  private Thread thread;

  @BeforeEach
  void follow() throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(StandInControl.start(key, clock));
    }
    network =
        PeerNetwork.create(
            "entry", key, Sockets.of(Optional.empty()), () -> false, EventLog.none());
    ControlDirectory directory =
        ControlDirectory.ofSeeds(instances.stream().map(StandInControl::name).toList());
    links = PeerLinks.create(network, directory::address, workers, clock);
    ControlReachability reachability = new ControlReachability(INSTANCES);
    ViewWatcher watcher =
        new ViewWatcher(
            "entry",
            directory,
            links,
            ControlClient.create("entry", directory, links, clock),
            holder,
            Readiness.create(holder, reachability, Duration.ofHours(12)),
            reachability,
            EventLog.none(),
            clock);
    thread = DaemonThreads.start(watcher, "view-watcher");
    await().atMost(20, SECONDS).until(() -> holder.current().configuration().version() == 1);
    await()
        .atMost(20, SECONDS)
        .until(() -> instances.stream().filter(StandInControl::isWatched).count() == 1);
  }

  @AfterEach
  void close() {
    thread.interrupt();
    links.close();
    network.close();
    instances.forEach(StandInControl::close);
    workers.shutdownNow();
  }

  @Test
  void should_apply_a_change_in_time_while_the_followed_instance_is_cut_off() {
    StandInControl followed = followed();
    followed.cutOff();

    Duration late = timeUntilApplied(List.of(followed));

    assertTrue(late.compareTo(CONFIG_APPLY) < 0, "the change was in force after " + late);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void should_apply_a_change_in_time_while_two_instances_are_silent(int distance) {
    StandInControl followed = followed();
    StandInControl other =
        instances.get((instances.indexOf(followed) + distance) % instances.size());
    followed.silence();
    other.silence();

    Duration late = timeUntilApplied(List.of(followed, other));

    assertTrue(late.compareTo(CONFIG_APPLY) < 0, "the change was in force after " + late);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void should_apply_a_change_in_time_while_one_is_cut_off_and_one_is_silent(int distance) {
    StandInControl followed = followed();
    StandInControl other =
        instances.get((instances.indexOf(followed) + distance) % instances.size());
    followed.cutOff();
    other.silence();

    Duration late = timeUntilApplied(List.of(followed, other));

    assertTrue(late.compareTo(CONFIG_APPLY) < 0, "the change was in force after " + late);
  }

  @Test
  void should_close_every_stream_but_one_after_it_left_an_instance() {
    StandInControl followed = followed();
    followed.cutOff();
    timeUntilApplied(List.of(followed));

    await()
        .atMost(20, SECONDS)
        .until(() -> instances.stream().filter(StandInControl::isWatched).count() == 1);

    assertFalse(followed.isWatched());
  }

  private StandInControl followed() {
    return instances.stream().filter(StandInControl::isWatched).findFirst().orElseThrow();
  }

  /** Confirms a version at all other instances and returns when the entry has it. */
  private Duration timeUntilApplied(List<StandInControl> lost) {
    Instant confirmedAt = clock.instant();
    instances.stream().filter(instance -> !lost.contains(instance)).forEach(i -> i.apply(2));
    await()
        .atMost(LONGEST_WAIT)
        .pollInterval(Duration.ofMillis(5))
        .until(() -> holder.current().configuration().version() == 2);
    return Duration.between(confirmedAt, clock.instant());
  }
}

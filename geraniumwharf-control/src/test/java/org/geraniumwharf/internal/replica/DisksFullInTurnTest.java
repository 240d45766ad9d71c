package org.geraniumwharf.internal.replica;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.raft.MembershipPolicy;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.storage.DataFolder;
import org.geraniumwharf.internal.storage.FileReplicaStorage;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a group that refuses changes, or leaves them unanswered, long after the disks of
 * its replicas were full for a while, one after the other.
 */
class DisksFullInTurnTest {

  private static final List<String> NAMES = List.of("c-1", "c-2", "c-3", "c-4", "c-5");
  private static final Duration HEARTBEAT = Duration.ofMillis(30);
  private static final Duration ELECTION = Duration.ofMillis(150);
  private static final Duration FULL = Duration.ofMillis(900);

  /** Time in which a change is confirmed while every disk has room. */
  private static final Duration CONFIRMATION = Duration.ofSeconds(5);

  private static final int SNAPSHOT_ENTRIES = 12;
  private static final long RETRY_NANOS = 20_000_000;

  @TempDir private Path folder;
  private final Map<String, ReplicaRunner> runners = new ConcurrentHashMap<>();
  private final Map<String, FillingStorage> storages = new ConcurrentHashMap<>();
  private final List<AutoCloseable> opened = new ArrayList<>();
  private int version;

  @BeforeEach
  void startGroup() throws Exception {
    for (String name : NAMES) {
      start(name);
    }
    publishWithin(Duration.ofSeconds(20));
  }

  @AfterEach
  void stopGroup() throws Exception {
    storages.values().forEach(storage -> storage.isFull = false);
    for (ReplicaRunner runner : runners.values()) {
      runner.shutdown().get(30, SECONDS);
    }
    for (AutoCloseable resource : opened) {
      resource.close();
    }
  }

  @Test
  void should_confirm_changes_while_and_after_each_disk_was_full() throws Exception {
    for (String name : NAMES) {
      fillWhilePublishing(name);
    }

    for (int i = 0; i < 3 * SNAPSHOT_ENTRIES; i++) {
      publishWithin(CONFIRMATION);
    }
  }

  /** The leader's disk each time, which has calls under way. */
  @Test
  void should_confirm_changes_while_and_after_the_disk_of_each_leader_was_full() throws Exception {
    for (int i = 0; i < NAMES.size(); i++) {
      fillWhilePublishing(leader());
    }

    for (int i = 0; i < 3 * SNAPSHOT_ENTRIES; i++) {
      publishWithin(CONFIRMATION);
    }
  }

  private void fillWhilePublishing(String name) throws Exception {
    storages.get(name).isFull = true;
    Instant end = Instant.now().plus(FULL);
    while (Instant.now().isBefore(end)) {
      publishWithin(CONFIRMATION);
    }
    storages.get(name).isFull = false;
  }

  private String leader() {
    for (String name : NAMES) {
      if (runners.get(name).leadership(Instant.now()).isPresent()) {
        return name;
      }
    }
    return NAMES.get(0);
  }

  /** Publishes the next version at whichever replica leads. */
  private void publishWithin(Duration time) throws Exception {
    version++;
    PublishCall call =
        PublishCall.of(
            "publish-" + version,
            "operator",
            0,
            List.of(Service.of("service", version)),
            Optional.of((long) version),
            Optional.empty());
    Instant deadline = Instant.now().plus(time);
    String last = "none";
    for (int i = 0; Instant.now().isBefore(deadline); i++) {
      ReplicaRunner asked = runners.get(NAMES.get(i % NAMES.size()));
      try {
        ControlAnswer answer = asked.call(call).get(200, MILLISECONDS);
        if (answer instanceof PublishAnswer published
            && published.outcome() != PublishOutcome.CONFLICT) {
          return;
        }
        last = answer.toString();
      } catch (TimeoutException e) {
        last = "no answer";
      }
      LockSupport.parkNanos(RETRY_NANOS);
    }
    assertEquals("confirmed", last, "version " + version);
  }

  private void start(String name) throws Exception {
    ControlOptions options =
        new ControlOptions(
            name,
            NAMES,
            folder.resolve(name),
            HEARTBEAT,
            ELECTION,
            SNAPSHOT_ENTRIES,
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofHours(1),
            1000,
            2,
            Instant.EPOCH);
    DataFolder data = DataFolder.open(options.dataFolder());
    FileReplicaStorage file = FileReplicaStorage.open(data).storage();
    opened.add(file);
    opened.add(data);
    FillingStorage storage = new FillingStorage(file);
    storages.put(name, storage);
    RaftInitialState initial =
        new RaftInitialState(
            "main",
            name,
            RaftTiming.of(HEARTBEAT, ELECTION),
            HardState.of(0, Optional.empty(), 0, false),
            0,
            0,
            Membership.of(NAMES, List.of()),
            List.of(),
            storage,
            new SplittableRandom(name.hashCode()),
            MembershipPolicy.toleratingLosses(2));
    runners.put(
        name,
        ReplicaRunner.start(
            options,
            RaftCore.create(initial, Instant.now()),
            storage,
            (to, message) ->
                Optional.ofNullable(runners.get(to)).ifPresent(runner -> runner.receive(message)),
            EventLog.none(),
            Instant::now));
  }

  /** A storage that refuses every write while its disk is full. */
  private static final class FillingStorage implements ReplicaStorage {

    private final ReplicaStorage storage;
    private volatile boolean isFull;

    FillingStorage(ReplicaStorage storage) {
      this.storage = storage;
    }

    private void checkRoom() throws StorageException {
      if (isFull) {
        throw new StorageException("no space left on device");
      }
    }

    @Override
    public void append(Optional<HardState> hardState, List<LogEntry> entries)
        throws StorageException {
      checkRoom();
      storage.append(hardState, entries);
    }

    @Override
    public void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained)
        throws StorageException {
      checkRoom();
      storage.saveSnapshot(snapshot, hardState, retained);
    }

    @Override
    public long usableBytes() throws StorageException {
      return storage.usableBytes();
    }

    @Override
    public Optional<RaftSnapshot> latest() {
      return storage.latest();
    }
  }
}

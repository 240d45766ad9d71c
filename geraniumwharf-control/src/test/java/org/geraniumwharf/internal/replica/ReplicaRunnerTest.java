package org.geraniumwharf.internal.replica;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.CrashEvidence;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.HeartbeatAnswer;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.NameWeightsCall;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.view.NamedDuration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaRunnerTest {

  private static final ControlOptions OPTIONS =
      new ControlOptions(
          "c-1",
          List.of("c-1"),
          Path.of("unused"),
          Duration.ofMillis(20),
          Duration.ofMillis(60),
          8,
          Duration.ofSeconds(2),
          Duration.ofSeconds(5),
          Duration.ofHours(1),
          1000,
          ControlOptions.MEMBERS_BY_OPERATORS,
          Instant.EPOCH);

  /** Ages and durations are rounded down to milliseconds one by one. */
  private static final long ROUNDING_MILLIS = 5;

  private static final long CALL_INTERVAL_NANOS = 20_000;

  private final FakeStorage storage = new FakeStorage();
  private final ReplicaRunner runner = start();

  @AfterEach
  void stop() throws Exception {
    runner.shutdown().get(30, SECONDS);
  }

  @Test
  void should_publish_once_it_leads() throws Exception {
    PublishAnswer answer = publishUntilLeading(0, "first");

    assertEquals(PublishOutcome.ACCEPTED, answer.outcome());
    assertEquals(1, answer.version());
  }

  @Test
  void should_refuse_new_work_while_the_disk_is_full_and_lose_nothing() throws Exception {
    publishUntilLeading(0, "first");
    storage.isFull = true;

    CallFailed refused = (CallFailed) publish(1, "second").get(30, SECONDS);
    storage.isFull = false;
    PublishAnswer resent = (PublishAnswer) publish(1, "second").get(30, SECONDS);

    assertEquals("storage-full", refused.kind());
    assertFalse(refused.applied());
    assertEquals(2, resent.version());
  }

  @Test
  void should_answer_only_after_a_failed_write_succeeded() throws Exception {
    publishUntilLeading(0, "first");
    storage.failures = 3;

    PublishAnswer answer = (PublishAnswer) publish(1, "second").get(30, SECONDS);

    assertEquals(2, answer.version());
    assertEquals(0, storage.failures);
    assertTrue(storage.isDurable(3), "the call was answered before its entry was durable");
  }

  @Test
  void should_stream_a_snapshot_and_then_each_change() throws Exception {
    publishUntilLeading(0, "first");
    BlockingQueue<ControlAnswer> stream = new LinkedBlockingQueue<>();
    runner.watch(0, stream::offer);
    WatchSnapshot snapshot = (WatchSnapshot) stream.poll(30, SECONDS);
    publish(1, "second").get(30, SECONDS);

    ControlAnswer next = stream.poll(30, SECONDS);
    while (!(next instanceof WatchDelta)) {
      next = stream.poll(30, SECONDS);
    }

    assertEquals(1, snapshot.view().configurationVersion());
    assertEquals(2, ((WatchDelta) next).change().configurationVersion());
  }

  @Test
  void should_tell_a_new_watcher_how_long_weights_have_been_named() throws Exception {
    publishUntilLeading(0, "first");
    watchUntil(view -> view.ageMillis() < Duration.ofDays(1).toMillis());
    long before = System.nanoTime();
    runner.call(NameWeightsCall.of("model", 2)).get(30, SECONDS);
    long named = System.nanoTime();
    LockSupport.parkNanos(Duration.ofMillis(300).toNanos());

    long watched = System.nanoTime();
    WatchSnapshot snapshot = watchUntil(view -> !view.named().isEmpty());

    NamedDuration told = snapshot.named().get(0);
    long most = Duration.ofNanos(System.nanoTime() - before).toMillis();
    long least = Duration.ofNanos(watched - named).toMillis() - ROUNDING_MILLIS;
    assertEquals(2, told.version());
    assertTrue(told.totalMillis() <= most, "" + told);
    assertEquals(told.stretchMillis(), told.totalMillis());
    assertTrue(told.totalMillis() + snapshot.ageMillis() >= least, "" + snapshot);
  }

  /** Takes a message and ends the watch. */
  private static boolean takeOnly(BlockingQueue<ControlAnswer> stream, ControlAnswer message) {
    stream.add(message);
    return false;
  }

  private WatchSnapshot watchUntil(Predicate<WatchSnapshot> isMet) throws InterruptedException {
    BlockingQueue<ControlAnswer> stream = new LinkedBlockingQueue<>();
    WatchSnapshot snapshot;
    do {
      stream.clear();
      runner.watch(0, message -> takeOnly(stream, message));
      snapshot = (WatchSnapshot) stream.poll(30, SECONDS);
    } while (!isMet.test(snapshot));
    return snapshot;
  }

  @Test
  void should_save_a_snapshot_after_the_set_number_of_entries() throws Exception {
    publishUntilLeading(0, "publish-0");
    for (int i = 1; i < 20; i++) {
      publish(i, "publish-" + i).get(30, SECONDS);
    }

    assertTrue(storage.latest().isPresent());
    assertTrue(storage.entries.size() < 12, "entries kept " + storage.entries.size());
  }

  @Test
  void should_join_crash_evidence_of_several_daemons_until_a_part_is_answered() throws Exception {
    publishUntilLeading(0, "first");
    heartbeat("entry-1", List.of(crash("target-1")), List.of());
    heartbeat("entry-2", List.of(crash("target-2")), List.of());

    HeartbeatAnswer suspected = heartbeat("entry-1", List.of(crash("target-2")), List.of());
    HeartbeatAnswer quarantined = heartbeat("entry-2", List.of(crash("target-3")), List.of());
    HeartbeatAnswer released = heartbeat("entry-1", List.of(), List.of("part"));

    assertEquals(List.of("part"), suspected.suspectedParts());
    assertEquals(List.of(), suspected.quarantinedParts());
    assertEquals(List.of("part"), quarantined.quarantinedParts());
    assertEquals(List.of(), released.quarantinedParts());
  }

  /** Guards against one report that ends each replica that comes to lead, one after the other. */
  @Test
  void should_fail_a_call_that_cannot_be_handled_and_go_on() throws Exception {
    publishUntilLeading(0, "first");
    runner.readStores(
        positions -> {
          throw new IllegalStateException("not readable");
        });

    ControlAnswer answer =
        runner.call(heartbeatCall("entry-1", List.of(), List.of())).get(30, SECONDS);
    PublishAnswer next = (PublishAnswer) publish(1, "second").get(30, SECONDS);

    assertInstanceOf(CallFailed.class, answer);
    assertEquals(2, next.version());
    assertFalse(runner.failure().isDone());
  }

  /** Guards against prompts with more parts than are kept, whose reports ended each leader. */
  @Test
  void should_quarantine_a_part_of_prompts_with_thousands_of_parts() throws Exception {
    publishUntilLeading(0, "first");

    HeartbeatAnswer answer = null;
    for (int i = 1; i <= 3; i++) {
      List<String> parts = new ArrayList<>(List.of("part"));
      for (int k = 0; k < 20_000; k++) {
        parts.add("block-" + i + "-" + k);
      }
      CrashEvidence evidence = CrashEvidence.of("target-" + i, 1, parts, false);
      answer = heartbeat("entry-1", List.of(evidence), List.of());
    }

    assertEquals(List.of("part"), answer.quarantinedParts());
  }

  private static CrashEvidence crash(String target) {
    return CrashEvidence.of(target, 1, List.of("part"), false);
  }

  private HeartbeatAnswer heartbeat(
      String daemon, List<CrashEvidence> crashes, List<String> soundParts) throws Exception {
    HeartbeatCall call = heartbeatCall(daemon, crashes, soundParts);
    return assertInstanceOf(HeartbeatAnswer.class, runner.call(call).get(30, SECONDS));
  }

  private static HeartbeatCall heartbeatCall(
      String daemon, List<CrashEvidence> crashes, List<String> soundParts) {
    return HeartbeatCall.of(
        DaemonStatus.of(daemon, 1, "dc-1", 1, 1, true, false, "-"),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        crashes,
        soundParts,
        List.of(),
        List.of(),
        List.of(),
        List.of(),
        Optional.empty());
  }

  /** Guards against calls that a replica took in its last step and never answered. */
  @Test
  void should_answer_every_call_that_arrives_while_it_stops() throws Exception {
    publishUntilLeading(0, "first");
    List<CompletableFuture<ControlAnswer>> answers = new ArrayList<>();

    CompletableFuture<Void> stopped = runner.shutdown();
    while (!stopped.isDone()) {
      answers.add(publish(1, "late"));
      LockSupport.parkNanos(CALL_INTERVAL_NANOS);
    }

    CompletableFuture<Void> all =
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new));
    all.completeOnTimeout(null, 2, SECONDS).join();
    assertEquals(0, answers.stream().filter(answer -> !answer.isDone()).count());
  }

  /** Guards against a process that goes on without its replica, so that nobody restarts it. */
  @Test
  void should_report_the_error_that_ended_it() throws Exception {
    publishUntilLeading(0, "first");
    storage.isBroken = true;
    var unused = publish(1, "second");

    Throwable cause = runner.failure().get(30, SECONDS);

    assertEquals("broken", cause.getMessage());
  }

  private ReplicaRunner start() {
    Instant now = Instant.now();
    RaftInitialState start =
        new RaftInitialState(
            "main",
            "c-1",
            RaftTiming.of(OPTIONS.heartbeatInterval(), OPTIONS.electionTimeout()),
            HardState.of(0, Optional.empty(), 0, false),
            0,
            0,
            Membership.of(List.of("c-1"), List.of()),
            List.of(),
            storage,
            new SplittableRandom(1));
    return ReplicaRunner.start(
        OPTIONS,
        RaftCore.create(start, now),
        storage,
        (to, message) -> {},
        EventLog.none(),
        Instant::now);
  }

  private CompletableFuture<ControlAnswer> publish(long base, String id) {
    return runner.call(
        PublishCall.of(
            id, "operator", base, List.of(Service.of(id, 1)), Optional.empty(), Optional.empty()));
  }

  private PublishAnswer publishUntilLeading(long base, String id) throws Exception {
    ControlAnswer answer = publish(base, id).get(30, SECONDS);
    while (answer instanceof NotLeader) {
      answer = publish(base, id).get(30, SECONDS);
    }
    return assertInstanceOf(PublishAnswer.class, answer);
  }

  /** In-memory storage with a simulated full disk and simulated write failures. */
  private static final class FakeStorage implements ReplicaStorage {

    private final List<LogEntry> entries = new ArrayList<>();
    private volatile Optional<RaftSnapshot> snapshot = Optional.empty();
    private volatile boolean isFull;
    private volatile int failures;
    private volatile boolean isBroken;

    @Override
    public synchronized void append(Optional<HardState> hardState, List<LogEntry> appended)
        throws StorageException {
      if (isBroken) {
        throw new IllegalStateException("broken");
      }
      if (failures > 0) {
        failures = failures - 1;
        throw new StorageException("no space left on device");
      }
      entries.addAll(appended);
    }

    synchronized boolean isDurable(long index) {
      return entries.stream().anyMatch(entry -> entry.index() == index);
    }

    @Override
    public synchronized void saveSnapshot(
        RaftSnapshot newer, HardState hardState, List<LogEntry> retained) {
      snapshot = Optional.of(newer);
      entries.clear();
      entries.addAll(retained);
    }

    @Override
    public long usableBytes() {
      return isFull ? 0 : Long.MAX_VALUE;
    }

    @Override
    public Optional<RaftSnapshot> latest() {
      return snapshot;
    }
  }
}

package org.geraniumwharf.internal.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.control.RaftSender;
import org.geraniumwharf.control.StoreReader;
import org.geraniumwharf.control.ViewSink;
import org.geraniumwharf.internal.raft.ConfirmedRead;
import org.geraniumwharf.internal.raft.OutgoingMessage;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftOutput;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.Role;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.StateSnapshot;
import org.geraniumwharf.time.ConfirmedTime;
import org.geraniumwharf.time.ProcessStart;
import org.geraniumwharf.weights.NamedTimes;

/**
 * Runs one replica on one thread. Inputs are queued and processed in batches, so that each batch
 * costs one disk sync regardless of its size. The thread owns the Raft core, the state machine, the
 * leases and the watchers, so none of them needs a lock.
 */
public final class ReplicaRunner implements ControlInstance {

  private static final int MAX_BATCH_INPUTS = 1024;
  private static final int MAX_QUEUED_INPUTS = 65_536;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration FRESHNESS_INTERVAL = Duration.ofMillis(250);
  private static final Duration STORAGE_RETRY_INTERVAL = Duration.ofMillis(200);
  private static final long MIN_SNAPSHOT_INTERVAL_BYTES = 4L << 20;
  private static final Duration SHUTDOWN_TRANSFER_TIMEOUT = Duration.ofSeconds(1);

  /** Age of a view that was never confirmed, or so long ago that it makes no difference. */
  private static final Duration NEVER_CONFIRMED = Duration.ofDays(1);

  private final ControlOptions options;
  private final RaftCore core;
  private final ReplicaStorage storage;
  private final RaftSender sender;
  private final EventLog log;
  private final InstantSource clock;
  private final ControlState state = ControlState.empty();
  private final NamedTimes namedTimes = NamedTimes.create();
  private final PendingCalls pendingCalls = new PendingCalls();
  private final SnapshotSchedule snapshots;
  private final LeaderDuties duties;
  private final PlacementDuty placement;
  private final ViewStream viewStream;
  private final CallHandler callHandler;
  private final EarlyCalls earlyCalls;
  private final BlockingQueue<Runnable> inputs = new LinkedBlockingQueue<>(MAX_QUEUED_INPUTS);
  private final List<EarlyWatcher> earlyWatchers = new ArrayList<>();
  private final Set<QueuedCall> queuedCalls = ConcurrentHashMap.newKeySet();
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private final CompletableFuture<Throwable> failure = new CompletableFuture<>();
  private final Thread thread;

  private volatile StoreReader storeReader = StoreReader.none();
  private volatile boolean isInitialised;
  private volatile boolean isJoined;
  private volatile Optional<Leadership> leadership = Optional.empty();
  private volatile Instant leadershipPublishedAt = Instant.MIN;
  private Instant leaderSince = Instant.MIN;
  private volatile boolean isStopping;
  private Instant stopDeadline = Instant.MAX;
  private Instant nextTick = Instant.MIN;
  private Instant nextFreshness = Instant.MIN;

  /** Age of the view as of {@link #viewConfirmedAgeAt}, when all that was committed was applied. */
  private Duration viewConfirmedAge = NEVER_CONFIRMED;

  private Instant viewConfirmedAgeAt;

  /** Time for which the view has been confirmed; empty if it never was. */
  private Optional<ConfirmedTime> confirmedTime = Optional.empty();

  private Role lastRole = Role.FOLLOWER;
  private Optional<String> lastLeader = Optional.empty();
  private Membership lastMembers = Membership.of(List.of(), List.of());
  private boolean wasRecovering;

  private ReplicaRunner(
      ControlOptions options,
      RaftCore core,
      ReplicaStorage storage,
      RaftSender sender,
      EventLog log,
      InstantSource clock) {
    this.options = options;
    this.core = core;
    this.storage = storage;
    this.sender = sender;
    this.log = log;
    this.clock = clock;
    this.viewConfirmedAgeAt = clock.instant();
    this.snapshots = SnapshotSchedule.of(options.snapshotEntries(), MIN_SNAPSHOT_INTERVAL_BYTES);
    this.duties = new LeaderDuties(options, log);
    this.placement = new PlacementDuty(options, log);
    this.viewStream =
        new ViewStream(
            state::view,
            () -> namedTimes.atLastConfirmation(confirmedTime),
            this::memberNames,
            () -> Duration.between(options.startedAt(), clock.instant()).toMillis());
    this.callHandler =
        new CallHandler(
            options,
            core,
            state,
            duties,
            placement,
            storage,
            positions -> storeReader.changesSince(positions),
            this::propose,
            this::read);
    this.earlyCalls = new EarlyCalls((call, answer) -> handle(call, answer, clock.instant()));
    this.thread = new Thread(this::run, "replica-" + options.name());
  }

  /**
   * Restores the latest snapshot from the storage and starts the replica's thread.
   *
   * @throws UncheckedIOException if the snapshot cannot be decoded
   */
  public static ReplicaRunner start(
      ControlOptions options,
      RaftCore core,
      ReplicaStorage storage,
      RaftSender sender,
      EventLog log,
      InstantSource clock) {
    ReplicaRunner runner = new ReplicaRunner(options, core, storage, sender, log, clock);
    storage.latest().ifPresent(runner::restore);
    runner.isInitialised = core.lastIndex() > 0;
    runner.thread.start();
    return runner;
  }

  @Override
  public void receive(RaftMessage message) {
    submit(() -> core.receive(message, clock.instant()));
  }

  @Override
  public CompletableFuture<ControlAnswer> call(PeerMessage call) {
    CompletableFuture<ControlAnswer> answer = new CompletableFuture<>();
    QueuedCall queued = new QueuedCall(call, answer);
    queuedCalls.add(queued);
    if (!submit(() -> handleQueued(queued)) || isStopping) {
      refuseIfQueued(queued);
    }
    return answer;
  }

  private void handleQueued(QueuedCall queued) {
    if (!queuedCalls.remove(queued)) {
      return;
    }
    Instant now = clock.instant();
    boolean isHeld =
        core.isAwaitingFirstLeader(now)
            && !isStopRequested()
            && earlyCalls.add(queued.call, queued.answer, now);
    if (!isHeld) {
      handle(queued.call, queued.answer, now);
    }
  }

  /**
   * Handles a call. One that cannot be handled fails alone: its sender repeats it at each leader,
   * and would end all of them one after the other.
   */
  private void handle(PeerMessage call, CompletableFuture<ControlAnswer> answer, Instant now) {
    try {
      callHandler.handle(call, answer, now);
    } catch (RuntimeException e) {
      log.warn(
          Event.of("call-not-handled")
              .with("replica", options.name())
              .with("call", call.getClass().getSimpleName())
              .with("cause", e));
      answer.complete(PendingCalls.failed("the call cannot be handled", true));
    }
  }

  private void refuseIfQueued(QueuedCall queued) {
    if (queuedCalls.remove(queued)) {
      queued.answer.complete(
          PendingCalls.failed("the control instance is stopping or full", false));
    }
  }

  /** A call that the replica's thread has not begun to handle; each is equal only to itself. */
  private static final class QueuedCall {

    private final PeerMessage call;
    private final CompletableFuture<ControlAnswer> answer;

    QueuedCall(PeerMessage call, CompletableFuture<ControlAnswer> answer) {
      this.call = call;
      this.answer = answer;
    }
  }

  @Override
  public void watch(long afterIndex, ViewSink sink) {
    submit(() -> addWatcher(new EarlyWatcher(afterIndex, sink)));
  }

  /**
   * Adds a watcher, after the first confirmation if that is about to come: then it receives one
   * view that it can use, instead of every change since the last snapshot.
   */
  private void addWatcher(EarlyWatcher watcher) {
    Instant now = clock.instant();
    if (core.isAwaitingFirstConfirmation(now)) {
      earlyWatchers.add(watcher);
    } else {
      viewStream.addWatcher(watcher.afterIndex(), watcher.sink(), viewAgeMillis(now));
    }
  }

  private void admitEarlyWatchers(Instant now) {
    if (!earlyWatchers.isEmpty() && !core.isAwaitingFirstConfirmation(now)) {
      List<EarlyWatcher> admitted = List.copyOf(earlyWatchers);
      earlyWatchers.clear();
      admitted.forEach(this::addWatcher);
    }
  }

  private record EarlyWatcher(long afterIndex, ViewSink sink) {}

  @Override
  public void readStores(StoreReader reader) {
    storeReader = reader;
  }

  @Override
  public boolean isJoined() {
    return isJoined;
  }

  @Override
  public Optional<Leadership> leadership(Instant now) {
    return leadership.map(
        published ->
            new Leadership(
                published.term(),
                published.since(),
                published.confirmedAge().plus(Duration.between(leadershipPublishedAt, now)),
                published.isFirst()));
  }

  /** Publishes the leadership as of {@code now} to the threads that call {@link #leadership}. */
  private void publishLeadership(Instant now) {
    leadershipPublishedAt = now;
    leadership =
        core.role() == Role.LEADER
            ? Optional.of(
                new Leadership(core.term(), leaderSince, core.confirmedAge(now), core.term() == 1))
            : Optional.empty();
  }

  @Override
  public CompletableFuture<Throwable> failure() {
    return failure;
  }

  @Override
  public boolean isInitialised() {
    return isInitialised;
  }

  @Override
  public CompletableFuture<Void> shutdown() {
    submit(
        () -> {
          Instant now = clock.instant();
          stopDeadline = now.plus(SHUTDOWN_TRANSFER_TIMEOUT);
          core.transferLeadership(now);
        });
    return stopped;
  }

  private boolean submit(Runnable input) {
    return !isStopping && inputs.offer(input);
  }

  private void run() {
    try {
      while (!isStopping) {
        step();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      log.warn(Event.of("replica-failed").with("replica", options.name()).with("cause", e));
      failure.complete(e);
    } finally {
      isStopping = true;
      earlyCalls.failAll();
      pendingCalls.failAll();
      queuedCalls.forEach(this::refuseIfQueued);
      stopped.complete(null);
    }
  }

  private void step() throws InterruptedException {
    handleInputs();
    Instant now = clock.instant();
    if (!now.isBefore(nextTick)) {
      tick(now);
    }
    earlyCalls.release(!core.isAwaitingFirstLeader(now) || isStopRequested(), now);
    core.flush(now);
    processAllOutput();
    sendFreshnessIfDue(clock.instant());
    handleRoleChange(clock.instant());
    logVotes();
    publishLeadership(clock.instant());
    if (!now.isBefore(stopDeadline) || (isStopRequested() && core.role() != Role.LEADER)) {
      isStopping = true;
    }
  }

  private boolean isStopRequested() {
    return !stopDeadline.equals(Instant.MAX);
  }

  private void handleInputs() throws InterruptedException {
    Runnable first = inputs.poll(TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    if (first == null) {
      return;
    }
    List<Runnable> batch = new ArrayList<>();
    batch.add(first);
    inputs.drainTo(batch, MAX_BATCH_INPUTS - 1);
    batch.forEach(Runnable::run);
  }

  private void tick(Instant now) {
    nextTick = now.plus(TICK_INTERVAL);
    core.tick(now);
    isJoined = core.isJoined(now);
    if (core.role() == Role.LEADER) {
      tickDuties(now).forEach(this::proposeInternal);
      placement
          .tick(state, core.term(), core.confirmedAge(now), () -> duties.liveDaemonNames(now), now)
          .forEach(this::proposeInternal);
    }
  }

  /** Returns the commands that are due; none if what daemons reported cannot be evaluated. */
  private List<Command> tickDuties(Instant now) {
    try {
      return duties.tick(state, now);
    } catch (RuntimeException e) {
      log.warn(Event.of("duties-failed").with("replica", options.name()).with("cause", e));
      return List.of();
    }
  }

  /** Tells the watchers how old the view is, after everything that is committed was applied. */
  private void sendFreshnessIfDue(Instant now) {
    boolean wasConfirmed = viewConfirmedAge.compareTo(NEVER_CONFIRMED) < 0;
    viewConfirmedAge = core.confirmedAge(now);
    viewConfirmedAgeAt = now;
    if (viewConfirmedAge.compareTo(NEVER_CONFIRMED) < 0) {
      recordConfirmed(now.minus(viewConfirmedAge), now);
      // The first confirmation is sent at once: entries hold requests until they have it.
      nextFreshness = wasConfirmed ? nextFreshness : now;
    }
    if (!now.isBefore(nextFreshness)) {
      nextFreshness = now.plus(FRESHNESS_INTERVAL);
      viewStream.sendFreshness(state.index(), viewAgeMillis(now));
    }
    admitEarlyWatchers(now);
  }

  private void recordConfirmed(Instant at, Instant now) {
    Optional<Instant> servingSince = ProcessStart.servingSince(options.startedAt(), now);
    Instant first = servingSince.filter(at::isAfter).orElse(at);
    confirmedTime =
        Optional.of(
            confirmedTime
                .orElseGet(() -> ConfirmedTime.startingAt(first))
                .confirmed(at, servingSince));
  }

  private void processAllOutput() throws InterruptedException {
    RaftOutput output = core.takeOutput();
    while (!output.isEmpty()) {
      processOutput(output);
      output = core.takeOutput();
    }
  }

  private void processOutput(RaftOutput output) throws InterruptedException {
    if (output.needsSync()) {
      persistWithRetries(output);
      isInitialised = core.lastIndex() > 0;
    }
    core.markPersisted();
    for (OutgoingMessage outgoing : output.messages()) {
      sender.send(outgoing.to(), outgoing.message());
    }
    output.committedEntries().forEach(this::apply);
    for (ConfirmedRead read : output.confirmedReads()) {
      pendingCalls.completeRead(read.id(), read.index());
    }
    takeSnapshotIfDue();
  }

  /**
   * Retries the write until it succeeds or the replica stops. The replica's thread does nothing
   * else meanwhile: without durable entries it must not acknowledge anything, for example while its
   * disk is full.
   */
  private void persistWithRetries(RaftOutput output) throws InterruptedException {
    while (!isStopping) {
      try {
        persist(output);
        return;
      } catch (StorageException e) {
        log.warn(Event.of("storage-failed").with("cause", e.getMessage()));
        LockSupport.parkNanos(STORAGE_RETRY_INTERVAL.toNanos());
        if (Thread.interrupted()) {
          throw new InterruptedException();
        }
      }
    }
  }

  private void persist(RaftOutput output) throws StorageException {
    if (output.snapshot().isPresent()) {
      RaftSnapshot snapshot = output.snapshot().get();
      storage.saveSnapshot(snapshot, core.hardState(), output.entries());
      restore(snapshot);
      log.info(Event.of("snapshot-installed").with("index", snapshot.index()));
    } else {
      storage.append(output.hardState(), output.entries());
    }
  }

  private void restore(RaftSnapshot snapshot) {
    try {
      state.restore(Codec.messagePack().decode(snapshot.data(), StateSnapshot.class));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    recordNamed(state.weights());
    snapshots.recordSaved(snapshot.index(), snapshot.data().length);
    pendingCalls.failEntriesUpTo(snapshot.index());
    viewStream.reset(snapshot.index(), viewAgeMillis(clock.instant()));
  }

  private void apply(LogEntry entry) {
    snapshots.recordApplied(entry.payload().length);
    if (entry.kind() != EntryKind.COMMAND) {
      state.skipEntry(entry.index());
      viewStream.sendFreshness(state.index(), viewAgeMillis(clock.instant()));
      return;
    }
    ControlState.ApplyResult applied = state.apply(entry.index(), decode(entry));
    long age = viewAgeMillis(clock.instant());
    applied.change().ifPresent(change -> recordNamed(change.weights()));
    applied.change().ifPresent(change -> viewStream.sendChange(change, age));
    pendingCalls.completeEntry(entry.index(), entry.term(), applied.answer());
  }

  /** What is learned before the first confirmation was named before this process was started. */
  private void recordNamed(List<NamedWeights> weights) {
    Instant now = confirmedTime.isEmpty() ? options.startedAt() : clock.instant();
    for (NamedWeights named : weights) {
      namedTimes.recordNamed(named.model(), named.version(), confirmedTime, now);
    }
  }

  private static Command decode(LogEntry entry) {
    try {
      return Codec.messagePack().decode(entry.payload(), Command.class);
    } catch (IOException e) {
      throw new UncheckedIOException("entry " + entry.index() + " is unreadable", e);
    }
  }

  private void takeSnapshotIfDue() {
    long index = state.index();
    if (!snapshots.isDue(index)) {
      return;
    }
    long term = core.termAt(index);
    byte[] data = Codec.messagePack().encode(state.snapshot(term, core.membershipAt(index)));
    RaftSnapshot snapshot = RaftSnapshot.of(index, term, core.membershipAt(index), data);
    try {
      storage.saveSnapshot(snapshot, core.hardState(), core.entriesAfter(index));
      snapshots.recordSaved(index, data.length);
      core.compactTo(index);
      log.info(Event.of("snapshot-saved").with("index", index).with("bytes", data.length));
    } catch (StorageException e) {
      snapshots.recordFailed(index);
      log.warn(Event.of("snapshot-failed").with("index", index).with("cause", e.getMessage()));
    }
  }

  private void handleRoleChange(Instant now) {
    if (core.role() == lastRole && core.leader().equals(lastLeader)) {
      return;
    }
    boolean wasLeader = lastRole == Role.LEADER;
    boolean isLeader = core.role() == Role.LEADER;
    if (wasLeader && !isLeader) {
      pendingCalls.failAll();
    }
    if (isLeader && !wasLeader) {
      duties.startLeadership(state, now);
      placement.startLeadership(now);
      leaderSince = now;
    }
    lastRole = core.role();
    lastLeader = core.leader();
    log.info(
        Event.of("replica-role")
            .with("replica", options.name())
            .with("role", lastRole)
            .with("term", core.term())
            .with("leader", lastLeader.orElse("none")));
  }

  /** Logs who has a vote, and whether this replica may use its own. */
  private void logVotes() {
    Membership members = core.membership();
    if (!members.equals(lastMembers) || core.isRecovering() != wasRecovering) {
      lastMembers = members;
      wasRecovering = core.isRecovering();
      log.info(
          Event.of("replica-votes")
              .with("replica", options.name())
              .with("term", core.term())
              .with("voters", members.voters())
              .with("learners", members.learners())
              .with("recovering", wasRecovering));
    }
  }

  private void propose(Command command, CompletableFuture<ControlAnswer> answer) {
    OptionalLong index = core.propose(Codec.messagePack().encode(command));
    if (index.isPresent()) {
      pendingCalls.addEntry(index.getAsLong(), core.term(), answer);
    } else {
      answer.complete(NotLeader.of(core.leader().filter(name -> !name.equals(options.name()))));
    }
  }

  private void proposeInternal(Command command) {
    core.propose(Codec.messagePack().encode(command));
  }

  private void read(CompletableFuture<ControlAnswer> answer) {
    core.requestReadIndex(pendingCalls.addRead(answer));
  }

  private List<String> memberNames() {
    List<String> names = new ArrayList<>(core.membership().voters());
    names.addAll(core.membership().learners());
    return names;
  }

  private long viewAgeMillis(Instant now) {
    return viewConfirmedAge.plus(Duration.between(viewConfirmedAgeAt, now)).toMillis();
  }
}

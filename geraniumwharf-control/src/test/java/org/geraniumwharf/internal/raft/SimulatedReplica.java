package org.geraniumwharf.internal.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.internal.storage.PowerLostException;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.LeaveOutcome;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.StateSnapshot;

/** A replica with its state machine and its own clock, which can crash at any write. */
final class SimulatedReplica {

  private static final RaftTiming TIMING =
      RaftTiming.of(Duration.ofMillis(50), Duration.ofMillis(300));
  private static final int ENTRIES_PER_SNAPSHOT = 25;

  private final String name;
  private final Membership initial;
  private final RandomGenerator random;
  private final SimulatedNetwork network;
  private final SafetyChecker checker;
  private final MembershipPolicy membershipPolicy;
  private final ReplicaDisk disk;
  private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
  private final Map<Long, Consumer<Long>> pendingReads = new HashMap<>();
  private Optional<RaftCore> core = Optional.empty();
  private ControlState state = ControlState.empty();
  private Duration clockSkew = Duration.ZERO;
  private long snapshotIndex;
  private long lastReadId;
  private boolean shouldCrashAtNextWrite;
  private boolean isFrozen;

  /** Output that is not written yet, because the disk failed or is slow. */
  private Optional<RaftOutput> unwritten = Optional.empty();

  private Instant writtenAt = Instant.MIN;

  private record PendingProposal(long term, Consumer<ControlAnswer> callback) {}

  SimulatedReplica(
      String name,
      Membership initial,
      RandomGenerator random,
      SimulatedNetwork network,
      SafetyChecker checker) {
    this(name, initial, random, network, checker, MembershipPolicy.manual());
  }

  SimulatedReplica(
      String name,
      Membership initial,
      RandomGenerator random,
      SimulatedNetwork network,
      SafetyChecker checker,
      MembershipPolicy members) {
    this(name, initial, random, network, checker, members, new SimulatedDisk());
  }

  SimulatedReplica(
      String name,
      Membership initial,
      RandomGenerator random,
      SimulatedNetwork network,
      SafetyChecker checker,
      MembershipPolicy members,
      ReplicaDisk disk) {
    this.disk = disk;
    this.name = name;
    this.initial = initial;
    this.random = random;
    this.network = network;
    this.checker = checker;
    this.membershipPolicy = members;
  }

  String name() {
    return name;
  }

  boolean isUp() {
    return core.isPresent();
  }

  boolean isLeader() {
    return core.isPresent() && core.get().role() == Role.LEADER;
  }

  boolean isJoined(Instant now) {
    return core.isPresent() && core.get().isJoined(localTime(now));
  }

  /**
   * Returns whether this replica would be recovering if it started again now: also while the end of
   * its recovery may not be written yet.
   */
  boolean isRecovering() {
    return core.isPresent() && (core.get().isRecovering() || unwritten.isPresent());
  }

  ControlState state() {
    return state;
  }

  RaftCore core() {
    return core.orElseThrow();
  }

  /**
   * Starts from the disk, unless that fails at present.
   *
   * @throws AssertionError if the disk works, but the replica refuses what is on it
   */
  void start(Instant now) {
    try {
      disk.open();
    } catch (PowerLostException e) {
      disk.crash();
      return;
    } catch (StorageException e) {
      if (isUnreadable(e)) {
        throw new AssertionError(name + " cannot start: " + e.getMessage(), e);
      }
      return;
    }
    state = ControlState.empty();
    disk.latest().ifPresent(this::restore);
    core =
        Optional.of(
            RaftCore.create(
                disk.initialState(name, TIMING, initial, random, membershipPolicy),
                localTime(now)));
  }

  private static boolean isUnreadable(StorageException e) {
    return e.getCause() == null || !String.valueOf(e.getCause().getMessage()).contains("injected");
  }

  void crash() {
    endProcess();
    disk.crash();
  }

  private void endProcess() {
    unwritten = Optional.empty();
    core = Optional.empty();
    pendingProposals.clear();
    pendingReads.clear();
    shouldCrashAtNextWrite = false;
    isFrozen = false;
  }

  void crashAtNextWrite() {
    shouldCrashAtNextWrite = true;
  }

  void loseDisk() {
    crash();
    disk.wipe();
  }

  void setFrozen(boolean frozen) {
    isFrozen = frozen;
  }

  void clearFaults() {
    disk.clearFaults();
    isFrozen = false;
    shouldCrashAtNextWrite = false;
  }

  /** Moves the clock of this replica forward. */
  void jumpClock(Duration jump) {
    clockSkew = clockSkew.plus(jump);
  }

  private Instant localTime(Instant now) {
    return now.plus(clockSkew);
  }

  void tick(Instant now) {
    if (core.isPresent() && !isFrozen && unwritten.isPresent()) {
      writeAgain(now);
    } else if (isActive()) {
      core.get().tick(localTime(now));
      processOutput(now);
    }
  }

  void receive(RaftMessage message, Instant now) {
    if (isActive()) {
      core.get().receive(message, localTime(now));
      processOutput(now);
    }
  }

  private boolean isActive() {
    return core.isPresent() && !isFrozen && unwritten.isEmpty();
  }

  void propose(Command command, Consumer<ControlAnswer> answer, Instant now) {
    if (!isActive()) {
      return;
    }
    OptionalLong index = core.get().propose(Codec.messagePack().encode(command));
    index.ifPresent(at -> pendingProposals.put(at, new PendingProposal(core.get().term(), answer)));
    processOutput(now);
  }

  void requestReadIndex(Consumer<Long> confirmed, Instant now) {
    if (isActive() && core.get().requestReadIndex(++lastReadId)) {
      pendingReads.put(lastReadId, confirmed);
      processOutput(now);
    }
  }

  void changeMembership(String member, boolean add, Instant now) {
    if (isActive()) {
      core.get().changeMembership(member, add, localTime(now));
      processOutput(now);
    }
  }

  /** Asks this replica to let a voter leave; empty if it does not answer. */
  Optional<LeaveOutcome> leave(String member, Instant now) {
    if (!isActive()) {
      return Optional.empty();
    }
    LeaveOutcome outcome = core.get().leave(member, localTime(now));
    processOutput(now);
    return Optional.of(outcome);
  }

  void transferLeadership(Instant now) {
    if (isActive()) {
      core.get().transferLeadership(localTime(now));
      processOutput(now);
    }
  }

  private void writeAgain(Instant now) {
    if (now.isBefore(writtenAt)) {
      return;
    }
    RaftOutput output = unwritten.get();
    unwritten = Optional.empty();
    processFrom(output, now);
  }

  private void processOutput(Instant now) {
    core.get().flush(localTime(now));
    RaftOutput output = core.get().takeOutput();
    Duration delay = output.needsSync() ? disk.nextDelay() : Duration.ZERO;
    if (delay.isZero()) {
      processFrom(output, now);
    } else {
      unwritten = Optional.of(output);
      writtenAt = now.plus(delay);
    }
  }

  private void processFrom(RaftOutput first, Instant now) {
    try {
      processAll(first, now);
    } catch (PowerLostException e) {
      crash();
    }
  }

  private void processAll(RaftOutput first, Instant now) {
    RaftOutput output = first;
    while (!output.isEmpty()) {
      if (output.needsSync() && shouldCrashAtNextWrite) {
        disk.writePartially(
            output, core.get().hardState(), random.nextInt(output.entries().size() + 2));
        crash();
        return;
      }
      if (output.needsSync() && !isWritten(output)) {
        unwritten = Optional.of(output);
        return;
      }
      output.snapshot().ifPresent(this::restore);
      core.get().markPersisted();
      output.messages().forEach(sent -> network.send(name, sent.to(), sent.message(), now));
      output.committedEntries().forEach(this::apply);
      for (ConfirmedRead read : output.confirmedReads()) {
        pendingReads.remove(read.id()).accept(read.index());
      }
      if (core.get().role() == Role.LEADER) {
        checker.recordLeader(name, core.get().term());
      }
      takeSnapshotIfDue();
      output = core.get().takeOutput();
    }
  }

  private boolean isWritten(RaftOutput output) {
    try {
      disk.write(output, core.get().hardState());
      return true;
    } catch (StorageException e) {
      return false;
    }
  }

  private void apply(LogEntry entry) {
    checker.recordApplied(name, entry);
    if (entry.kind() != EntryKind.COMMAND) {
      state.skipEntry(entry.index());
      return;
    }
    Optional<ControlAnswer> answer = state.apply(entry.index(), decode(entry)).answer();
    PendingProposal call = pendingProposals.remove(entry.index());
    if (call != null && call.term() == entry.term()) {
      answer.ifPresent(call.callback());
    }
  }

  private static Command decode(LogEntry entry) {
    try {
      return Codec.messagePack().decode(entry.payload(), Command.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void restore(RaftSnapshot snapshot) {
    try {
      state.restore(Codec.messagePack().decode(snapshot.data(), StateSnapshot.class));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    snapshotIndex = snapshot.index();
    pendingProposals.keySet().removeIf(index -> index <= snapshot.index());
  }

  private void takeSnapshotIfDue() {
    long index = state.index();
    if (index - snapshotIndex < ENTRIES_PER_SNAPSHOT) {
      return;
    }
    RaftCore raft = core.get();
    StateSnapshot data = state.snapshot(raft.termAt(index), raft.membershipAt(index));
    snapshotIndex = index;
    try {
      disk.saveSnapshot(
          RaftSnapshot.of(index, data.term(), data.membership(), Codec.messagePack().encode(data)),
          raft.hardState(),
          raft.entriesAfter(index));
      raft.compactTo(index);
    } catch (StorageException e) {
      // The next snapshot is due after as many entries.
    }
  }

  @Override
  public String toString() {
    if (core.isEmpty()) {
      return name + " is down";
    }
    RaftCore raft = core.get();
    return String.format(
        "%s %s term %d leader %s commit %d last %d recovering %s members %s",
        name,
        raft.role(),
        raft.term(),
        raft.leader().orElse("none"),
        raft.commitIndex(),
        raft.lastIndex(),
        raft.isRecovering(),
        raft.membership());
  }
}

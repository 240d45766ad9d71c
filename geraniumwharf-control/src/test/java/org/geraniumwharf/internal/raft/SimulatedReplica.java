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
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.StateSnapshot;

/** One replica with its state machine, its own clock and crashes at any write. */
final class SimulatedReplica {

  private static final RaftTiming TIMING =
      RaftTiming.of(Duration.ofMillis(50), Duration.ofMillis(300));
  private static final int SNAPSHOT_ENTRIES = 25;

  private final String name;
  private final Membership initial;
  private final RandomGenerator random;
  private final SimulatedNetwork network;
  private final SafetyChecker checker;
  private final MemberRules members;
  private final SimulatedDisk disk = new SimulatedDisk();
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private final Map<Long, Consumer<Long>> reads = new HashMap<>();
  private Optional<RaftCore> core = Optional.empty();
  private ControlState state = ControlState.empty();
  private Duration skew = Duration.ZERO;
  private long snapshotIndex;
  private long nextRead;
  private boolean isCrashAtNextWrite;
  private boolean isFrozen;

  private record Waiting(long term, Consumer<ControlAnswer> answer) {}

  SimulatedReplica(
      String name,
      Membership initial,
      RandomGenerator random,
      SimulatedNetwork network,
      SafetyChecker checker) {
    this(name, initial, random, network, checker, MemberRules.manual());
  }

  SimulatedReplica(
      String name,
      Membership initial,
      RandomGenerator random,
      SimulatedNetwork network,
      SafetyChecker checker,
      MemberRules members) {
    this.name = name;
    this.initial = initial;
    this.random = random;
    this.network = network;
    this.checker = checker;
    this.members = members;
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
    return core.isPresent() && core.get().isJoined(local(now));
  }

  boolean isRecovering() {
    return core.isPresent() && core.get().isRecovering();
  }

  ControlState state() {
    return state;
  }

  RaftCore core() {
    return core.orElseThrow();
  }

  void start(Instant now) {
    state = ControlState.empty();
    disk.latest().ifPresent(this::restore);
    core =
        Optional.of(
            RaftCore.create(disk.start(name, TIMING, initial, random, members), local(now)));
  }

  void crash() {
    core = Optional.empty();
    waiting.clear();
    reads.clear();
    isCrashAtNextWrite = false;
    isFrozen = false;
  }

  void crashAtNextWrite() {
    isCrashAtNextWrite = true;
  }

  void loseDisk() {
    crash();
    disk.wipe();
  }

  void freeze(boolean frozen) {
    isFrozen = frozen;
  }

  void endFaults() {
    isFrozen = false;
    isCrashAtNextWrite = false;
  }

  /** The clock of this replica jumps forward. */
  void jump(Duration jump) {
    skew = skew.plus(jump);
  }

  private Instant local(Instant now) {
    return now.plus(skew);
  }

  void tick(Instant now) {
    if (isActive()) {
      core.get().tick(local(now));
      carryOut(now);
    }
  }

  void receive(RaftMessage message, Instant now) {
    if (isActive()) {
      core.get().receive(message, local(now));
      carryOut(now);
    }
  }

  private boolean isActive() {
    return core.isPresent() && !isFrozen;
  }

  void propose(Command command, Consumer<ControlAnswer> answer, Instant now) {
    if (!isActive()) {
      return;
    }
    OptionalLong index = core.get().propose(Codec.messagePack().encode(command));
    index.ifPresent(at -> waiting.put(at, new Waiting(core.get().term(), answer)));
    carryOut(now);
  }

  void read(Consumer<Long> confirmed, Instant now) {
    if (isActive() && core.get().read(++nextRead)) {
      reads.put(nextRead, confirmed);
      carryOut(now);
    }
  }

  void changeMembership(String member, boolean add, Instant now) {
    if (isActive()) {
      core.get().changeMembership(member, add, local(now));
      carryOut(now);
    }
  }

  void transferLeadership(Instant now) {
    if (isActive()) {
      core.get().transferLeadership(local(now));
      carryOut(now);
    }
  }

  private void carryOut(Instant now) {
    core.get().flush(local(now));
    RaftOutput output = core.get().takeOutput();
    while (!output.isEmpty()) {
      if (output.needsSync() && isCrashAtNextWrite) {
        disk.writePart(output, random.nextInt(output.entries().size() + 2));
        crash();
        return;
      }
      disk.write(output);
      output.snapshot().ifPresent(this::restore);
      core.get().persisted();
      output.messages().forEach(sent -> network.send(name, sent.to(), sent.message(), now));
      output.committed().forEach(this::apply);
      for (ConfirmedRead read : output.reads()) {
        reads.remove(read.id()).accept(read.index());
      }
      if (core.get().role() == Role.LEADER) {
        checker.leads(name, core.get().term());
      }
      takeSnapshotIfDue();
      output = core.get().takeOutput();
    }
  }

  private void apply(LogEntry entry) {
    checker.applied(name, entry);
    if (entry.kind() != EntryKind.COMMAND) {
      state.skip(entry.index());
      return;
    }
    Optional<ControlAnswer> answer = state.apply(entry.index(), decode(entry)).answer();
    Waiting call = waiting.remove(entry.index());
    if (call != null && call.term() == entry.term()) {
      answer.ifPresent(call.answer());
    }
  }

  private static Command decode(LogEntry entry) {
    try {
      return Codec.messagePack().decode(entry.payload(), Command.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void restore(InstalledSnapshot snapshot) {
    try {
      state.restore(Codec.messagePack().decode(snapshot.data(), StateSnapshot.class));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    snapshotIndex = snapshot.index();
    waiting.keySet().removeIf(index -> index <= snapshot.index());
  }

  private void takeSnapshotIfDue() {
    long index = state.index();
    if (index - snapshotIndex < SNAPSHOT_ENTRIES) {
      return;
    }
    RaftCore raft = core.get();
    StateSnapshot data = state.snapshot(raft.termAt(index), raft.membershipAt(index));
    disk.saveSnapshot(
        InstalledSnapshot.of(
            index, data.term(), data.membership(), Codec.messagePack().encode(data)),
        raft.entriesAfter(index));
    snapshotIndex = index;
    raft.compactTo(index);
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

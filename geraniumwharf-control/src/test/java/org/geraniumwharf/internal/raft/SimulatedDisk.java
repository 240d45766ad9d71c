package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/** Durable state of one replica, which survives a crash. */
final class SimulatedDisk implements ReplicaDisk {

  private static final HardState INITIAL_HARD_STATE = HardState.of(0, Optional.empty(), 0, false);

  private HardState hardState = INITIAL_HARD_STATE;
  private final List<LogEntry> entries = new ArrayList<>();
  private Optional<RaftSnapshot> snapshot = Optional.empty();

  @Override
  public void open() {}

  @Override
  public void write(RaftOutput output, HardState unused) {
    if (output.snapshot().isPresent()) {
      saveSnapshot(output.snapshot().get(), unused, List.of());
    }
    output.hardState().ifPresent(state -> hardState = state);
    output.entries().forEach(this::writeEntry);
  }

  @Override
  public void writePartially(RaftOutput output, HardState unused, int parts) {
    if (output.snapshot().isPresent() || parts == 0) {
      return;
    }
    output.hardState().ifPresent(state -> hardState = state);
    output.entries().stream().limit(parts - 1L).forEach(this::writeEntry);
  }

  @Override
  public void crash() {}

  @Override
  public void clearFaults() {}

  @Override
  public Duration nextDelay() {
    return Duration.ZERO;
  }

  private void writeEntry(LogEntry entry) {
    int position = (int) (entry.index() - snapshotIndex() - 1);
    entries.subList(position, entries.size()).clear();
    entries.add(entry);
  }

  @Override
  public void saveSnapshot(RaftSnapshot newer, HardState unused, List<LogEntry> retained) {
    snapshot = Optional.of(newer);
    entries.clear();
    entries.addAll(retained);
  }

  @Override
  public void wipe() {
    hardState = INITIAL_HARD_STATE.withRecovering(true);
    entries.clear();
    snapshot = Optional.empty();
  }

  @Override
  public RaftInitialState initialState(
      String self,
      RaftTiming timing,
      Membership initial,
      RandomGenerator random,
      MembershipPolicy members) {
    return new RaftInitialState(
        "main",
        self,
        timing,
        hardState,
        snapshotIndex(),
        snapshot.map(RaftSnapshot::term).orElse(0L),
        snapshot.map(RaftSnapshot::membership).orElse(initial),
        entries,
        this,
        random,
        members);
  }

  private long snapshotIndex() {
    return snapshot.map(RaftSnapshot::index).orElse(0L);
  }

  @Override
  public Optional<RaftSnapshot> latest() {
    return snapshot;
  }
}

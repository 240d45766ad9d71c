package org.geraniumwharf.internal.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/** What of one replica survives a crash. */
final class SimulatedDisk implements SnapshotSource {

  private static final HardState NEW = HardState.of(0, Optional.empty(), 0, false);

  private HardState hardState = NEW;
  private final List<LogEntry> entries = new ArrayList<>();
  private Optional<InstalledSnapshot> snapshot = Optional.empty();

  void write(RaftOutput output) {
    if (output.snapshot().isPresent()) {
      saveSnapshot(output.snapshot().get(), List.of());
    }
    output.hardState().ifPresent(state -> hardState = state);
    output.entries().forEach(this::writeEntry);
  }

  /** A crash inside a write: the hard state comes first, then a part of the entries. */
  void writePart(RaftOutput output, int parts) {
    if (output.snapshot().isPresent() || parts == 0) {
      return;
    }
    output.hardState().ifPresent(state -> hardState = state);
    output.entries().stream().limit(parts - 1L).forEach(this::writeEntry);
  }

  private void writeEntry(LogEntry entry) {
    int position = (int) (entry.index() - baseIndex() - 1);
    entries.subList(position, entries.size()).clear();
    entries.add(entry);
  }

  void saveSnapshot(InstalledSnapshot newer, List<LogEntry> retained) {
    snapshot = Optional.of(newer);
    entries.clear();
    entries.addAll(retained);
  }

  void wipe() {
    hardState = NEW.withRecovering(true);
    entries.clear();
    snapshot = Optional.empty();
  }

  RaftStart start(
      String self,
      RaftTiming timing,
      Membership initial,
      RandomGenerator random,
      MemberRules members) {
    return new RaftStart(
        "main",
        self,
        timing,
        hardState,
        baseIndex(),
        snapshot.map(InstalledSnapshot::term).orElse(0L),
        snapshot.map(InstalledSnapshot::membership).orElse(initial),
        entries,
        this,
        random,
        members);
  }

  private long baseIndex() {
    return snapshot.map(InstalledSnapshot::index).orElse(0L);
  }

  @Override
  public Optional<InstalledSnapshot> latest() {
    return snapshot;
  }
}

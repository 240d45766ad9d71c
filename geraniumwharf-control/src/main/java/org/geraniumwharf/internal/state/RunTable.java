package org.geraniumwharf.internal.state;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumwharf.schema.messages.ClaimOutcome;
import org.geraniumwharf.schema.messages.ClaimRunAnswer;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.FinishRunCommand;
import org.geraniumwharf.schema.state.PruneCommand;
import org.geraniumwharf.schema.state.RunAttempt;
import org.geraniumwharf.schema.state.RunKey;
import org.geraniumwharf.schema.state.RunRecord;
import org.geraniumwharf.schema.state.RunState;

/**
 * Records of the runs that must execute at most once, oldest change first.
 *
 * <p>A run is claimed by one attempt. Only that attempt may finish it, as completed, in doubt or
 * released. {@code released} means that the run certainly did not execute, and lets another attempt
 * claim it. A release that arrives before its own claim is recorded, so that the late claim is
 * rejected.
 */
final class RunTable {

  private static final String NO_FINGERPRINT = "";

  private final LinkedHashMap<RunKey, RunRecord> records = new LinkedHashMap<>();
  private final Set<RunKey> claimedRuns = new HashSet<>();

  /** Grants the run to the attempt, or returns why it cannot be granted. */
  ClaimRunAnswer claim(ClaimRunCommand command) {
    RunRecord record = records.get(command.run());
    if (record == null) {
      return grant(command);
    }
    boolean isSameAttempt = record.attempt().equals(command.attempt());
    if (record.state() == RunState.RELEASED) {
      return isSameAttempt ? answer(ClaimOutcome.RELEASED) : grant(command);
    }
    if (!record.fingerprint().equals(command.fingerprint())) {
      return answer(ClaimOutcome.FINGERPRINT_MISMATCH);
    }
    return switch (record.state()) {
      case CLAIMED -> answer(isSameAttempt ? ClaimOutcome.CLAIMED : ClaimOutcome.IN_PROGRESS);
      case COMPLETED -> ClaimRunAnswer.of(ClaimOutcome.COMPLETED, record.answer());
      case IN_DOUBT -> answer(ClaimOutcome.IN_DOUBT);
      case RELEASED -> throw new IllegalStateException("handled above");
    };
  }

  private ClaimRunAnswer grant(ClaimRunCommand command) {
    put(
        RunRecord.of(
            command.run(),
            command.fingerprint(),
            RunState.CLAIMED,
            command.attempt(),
            Optional.empty(),
            command.atMillis()));
    return answer(ClaimOutcome.CLAIMED);
  }

  private static ClaimRunAnswer answer(ClaimOutcome outcome) {
    return ClaimRunAnswer.of(outcome, Optional.empty());
  }

  /**
   * Finishes a run if the attempt holds it.
   *
   * @return the state of the run after the command
   */
  RunState finish(FinishRunCommand command) {
    RunRecord record = records.get(command.run());
    if (record == null) {
      put(finishedRecord(command, NO_FINGERPRINT));
      return command.state();
    }
    boolean canFinish = record.state() == RunState.CLAIMED || record.state() == RunState.IN_DOUBT;
    if (!canFinish || !record.attempt().equals(command.attempt())) {
      return record.state();
    }
    put(finishedRecord(command, record.fingerprint()));
    return command.state();
  }

  private static RunRecord finishedRecord(FinishRunCommand command, String fingerprint) {
    return RunRecord.of(
        command.run(),
        fingerprint,
        command.state(),
        command.attempt(),
        command.answer(),
        command.atMillis());
  }

  /** Marks the claimed runs of a daemon's earlier incarnations as in doubt. */
  void markInDoubt(DoubtRunsCommand command) {
    for (RunKey key : List.copyOf(claimedRuns)) {
      RunRecord record = records.get(key);
      RunAttempt attempt = record.attempt();
      if (attempt.owner().equals(command.owner())
          && attempt.ownerIncarnation() < command.belowIncarnation()) {
        put(record.withState(RunState.IN_DOUBT).withChangedMillis(command.atMillis()));
      }
    }
  }

  /**
   * Removes the records of finished runs, including those in doubt, that are past their retention
   * or exceed the limit. Claimed runs are retained.
   */
  void prune(PruneCommand command) {
    int finished = records.size() - claimedRuns.size();
    List<RunKey> prunable = new ArrayList<>();
    for (RunRecord record : records.values()) {
      if (!isFinished(record)) {
        continue;
      }
      if (record.changedMillis() < retentionCutoffMillis(record, command)
          || finished > command.maxRuns()) {
        prunable.add(record.run());
        finished--;
      }
    }
    prunable.forEach(records::remove);
  }

  private static long retentionCutoffMillis(RunRecord record, PruneCommand command) {
    return record.state() == RunState.RELEASED
        ? command.releasedBeforeMillis()
        : command.finishedBeforeMillis();
  }

  private static boolean isFinished(RunRecord record) {
    return record.state() != RunState.CLAIMED;
  }

  /** Returns the daemons that hold claims, each with its lowest incarnation that holds one. */
  Map<String, Long> claimOwners() {
    Map<String, Long> owners = new TreeMap<>();
    for (RunKey key : claimedRuns) {
      RunAttempt attempt = records.get(key).attempt();
      owners.merge(attempt.owner(), attempt.ownerIncarnation(), Math::min);
    }
    return owners;
  }

  Optional<RunRecord> find(RunKey run) {
    return Optional.ofNullable(records.get(run));
  }

  /**
   * Returns whether there are more finished runs than the limit, or the one that changed longest
   * ago is past its retention.
   */
  boolean hasPrunable(PruneCommand command) {
    int finished = records.size() - claimedRuns.size();
    if (finished > command.maxRuns()) {
      return true;
    }
    for (RunRecord record : records.values()) {
      if (isFinished(record)) {
        return record.changedMillis() < retentionCutoffMillis(record, command);
      }
    }
    return false;
  }

  Map<RunState, Long> countByState() {
    Map<RunState, Long> counts = new EnumMap<>(RunState.class);
    records.values().forEach(record -> counts.merge(record.state(), 1L, Long::sum));
    return counts;
  }

  List<RunRecord> records() {
    return List.copyOf(records.values());
  }

  void restore(List<RunRecord> restored) {
    records.clear();
    claimedRuns.clear();
    restored.forEach(this::put);
  }

  /** Stores a record as the last one, which keeps the records ordered by their last change. */
  private void put(RunRecord record) {
    records.remove(record.run());
    records.put(record.run(), record);
    if (record.state() == RunState.CLAIMED) {
      claimedRuns.add(record.run());
    } else {
      claimedRuns.remove(record.run());
    }
  }
}

package org.geraniumwharf.internal.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.RolloutAction;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.SteerRolloutCommand;

/** The newest rollout of each deployment. */
final class RolloutTable {

  /** Replaced versions that a rollout keeps, newest first. */
  private static final int MAX_REPLACED_VERSIONS = 4;

  /**
   * A rollout stops when it has at least this many failures and they are more than {@link
   * #MAX_FAILURE_RATIO} of all loads that ended.
   */
  private static final int MIN_FAILURES_TO_STOP = 2;

  private static final double MAX_FAILURE_RATIO = 0.2;

  private final TreeMap<String, RolloutRecord> records = new TreeMap<>();

  /**
   * Opens a rollout for each deployment whose version a publication changed, and removes the
   * rollouts of deployments that it removed.
   *
   * @return the rollouts that were opened
   */
  List<RolloutRecord> openRollouts(Configuration before, Configuration after, long atMillis) {
    List<RolloutRecord> opened = new ArrayList<>();
    records.keySet().removeIf(name -> after.deployment(name).isEmpty());
    for (Deployment deployment : after.deployments()) {
      Optional<Deployment> earlier = before.deployment(deployment.name());
      if (earlier.isPresent() && !earlier.get().modelVersion().equals(deployment.modelVersion())) {
        opened.add(put(createRollout(earlier.get(), deployment, atMillis)));
      }
    }
    return opened;
  }

  private RolloutRecord createRollout(Deployment earlier, Deployment deployment, long atMillis) {
    RolloutRecord current = records.get(deployment.name());
    List<String> replaced = new ArrayList<>();
    if (current == null) {
      replaced.add(earlier.modelVersion());
    } else {
      replaced.add(current.wanted());
      replaced.addAll(current.state() == RolloutState.DONE ? List.of() : current.replaced());
    }
    replaced.remove(deployment.modelVersion());
    return RolloutRecord.of(
        deployment.name(),
        deployment.modelVersion(),
        replaced.subList(0, Math.min(MAX_REPLACED_VERSIONS, replaced.size())),
        RolloutState.ROLLING,
        false,
        0,
        0,
        "published",
        atMillis);
  }

  /**
   * Outcome of an operator command (pause, resume, undo, finish).
   *
   * @param message the new reason of the rollout, or why the command was rejected
   * @param record the rollout after the command, if the deployment has one
   */
  record SteerResult(boolean isApplied, String message, Optional<RolloutRecord> record) {}

  /** Applies an operator command to the deployment's rollout. */
  SteerResult steer(SteerRolloutCommand command) {
    RolloutRecord current = records.get(command.deployment());
    if (current == null) {
      return new SteerResult(
          false, "the deployment has had no change of version", Optional.empty());
    }
    Optional<RolloutRecord> next = transition(current, command);
    if (next.isEmpty()) {
      String message =
          "a change of version that is "
              + lowerCase(current.state())
              + " cannot be told to "
              + lowerCase(command.action());
      return new SteerResult(false, message, Optional.of(current));
    }
    RolloutRecord changed = next.get().withChangedMillis(command.atMillis());
    return new SteerResult(true, changed.reason(), Optional.of(put(changed)));
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static Optional<RolloutRecord> transition(
      RolloutRecord current, SteerRolloutCommand command) {
    boolean isOpen = current.state() != RolloutState.DONE;
    String by = " by " + command.operator();
    if (command.action() == RolloutAction.UNDO) {
      return current.replaced().isEmpty() ? Optional.empty() : Optional.of(reverse(current, by));
    }
    if (command.action() == RolloutAction.PAUSE && isOpen) {
      return Optional.of(current.withState(RolloutState.PAUSED).withReason("paused" + by));
    }
    if (command.action() == RolloutAction.RESUME && isOpen) {
      return Optional.of(
          current.withState(RolloutState.ROLLING).withFailures(0).withReason("resumed" + by));
    }
    if (command.action() == RolloutAction.FINISH && current.state() == RolloutState.ROLLING) {
      return Optional.of(
          current.withState(RolloutState.DONE).withReason("every target was brought"));
    }
    return Optional.empty();
  }

  /** Swaps the wanted version with the version that it replaced last, and resets the counts. */
  private static RolloutRecord reverse(RolloutRecord current, String by) {
    List<String> replaced = new ArrayList<>(current.replaced());
    String wanted = replaced.remove(0);
    replaced.add(0, current.wanted());
    return current
        .withWanted(wanted)
        .withReplaced(replaced)
        .withState(RolloutState.ROLLING)
        .withUndone(!current.undone())
        .withLoads(0)
        .withFailures(0)
        .withReason("undone" + by);
  }

  /** Counts a successful load of the wanted version. */
  Optional<RolloutRecord> recordLoad(OrderRecord order) {
    return findRolling(order.deployment(), order.modelVersion())
        .map(current -> put(current.withLoads(current.loads() + 1)));
  }

  /** Counts a target that failed with the wanted version; too many failures stop the rollout. */
  Optional<RolloutRecord> recordFailure(
      String deployment, String version, String cause, long atMillis) {
    return findRolling(deployment, version)
        .map(current -> put(withFailure(current, cause, atMillis)));
  }

  private static RolloutRecord withFailure(RolloutRecord current, String cause, long atMillis) {
    int failures = current.failures() + 1;
    RolloutRecord counted = current.withFailures(failures);
    boolean exceedsLimit =
        failures >= MIN_FAILURES_TO_STOP
            && failures > MAX_FAILURE_RATIO * (current.loads() + failures);
    return exceedsLimit
        ? counted
            .withState(RolloutState.STOPPED)
            .withReason(failures + " targets failed with " + current.wanted() + ", last: " + cause)
            .withChangedMillis(Math.max(current.changedMillis(), atMillis))
        : counted;
  }

  private Optional<RolloutRecord> findRolling(String deployment, String version) {
    return Optional.ofNullable(records.get(deployment))
        .filter(current -> current.state() == RolloutState.ROLLING)
        .filter(current -> current.wanted().equals(version));
  }

  /** Returns the deployments that are rolling out a version. */
  List<String> rollingTo(String version) {
    return records.values().stream()
        .filter(
            current -> current.state() == RolloutState.ROLLING && current.wanted().equals(version))
        .map(RolloutRecord::deployment)
        .toList();
  }

  private RolloutRecord put(RolloutRecord record) {
    records.put(record.deployment(), record);
    return record;
  }

  Map<String, RolloutRecord> byDeployment() {
    return Map.copyOf(records);
  }

  List<RolloutRecord> records() {
    return List.copyOf(records.values());
  }

  void restore(Collection<RolloutRecord> restored) {
    records.clear();
    restored.forEach(this::put);
  }
}

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

/** Newest change of version of each deployment. */
final class RolloutTable {

  private static final int MAX_REPLACED_VERSIONS = 4;

  /** Failures that stop a change of version, and their least share of the loads that ended. */
  private static final int MIN_FAILURES_TO_STOP = 2;

  private static final double MAX_FAILURE_RATIO = 0.2;

  private final TreeMap<String, RolloutRecord> records = new TreeMap<>();

  /** Opens a change of version for each deployment whose version a publication changed. */
  List<RolloutRecord> openRollouts(Configuration before, Configuration after, long atMillis) {
    List<RolloutRecord> changed = new ArrayList<>();
    records.keySet().removeIf(name -> after.deployment(name).isEmpty());
    for (Deployment deployment : after.deployments()) {
      Optional<Deployment> earlier = before.deployment(deployment.name());
      if (earlier.isPresent() && !earlier.get().modelVersion().equals(deployment.modelVersion())) {
        changed.add(put(createRollout(earlier.get(), deployment, atMillis)));
      }
    }
    return changed;
  }

  private RolloutRecord createRollout(Deployment earlier, Deployment deployment, long atMillis) {
    RolloutRecord known = records.get(deployment.name());
    List<String> replaced = new ArrayList<>();
    if (known == null) {
      replaced.add(earlier.modelVersion());
    } else {
      replaced.add(known.wanted());
      replaced.addAll(known.state() == RolloutState.DONE ? List.of() : known.replaced());
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

  /** What came of a steering command. */
  record SteerResult(boolean isApplied, String message, Optional<RolloutRecord> record) {}

  SteerResult steer(SteerRolloutCommand command) {
    RolloutRecord known = records.get(command.deployment());
    if (known == null) {
      return new SteerResult(
          false, "the deployment has had no change of version", Optional.empty());
    }
    Optional<RolloutRecord> next = transition(known, command);
    if (next.isEmpty()) {
      String message =
          "a change of version that is "
              + lowerCase(known.state())
              + " cannot be told to "
              + lowerCase(command.action());
      return new SteerResult(false, message, Optional.of(known));
    }
    RolloutRecord changed = next.get().withChangedMillis(command.atMillis());
    return new SteerResult(true, changed.reason(), Optional.of(put(changed)));
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  private static Optional<RolloutRecord> transition(
      RolloutRecord known, SteerRolloutCommand command) {
    boolean isOpen = known.state() != RolloutState.DONE;
    String by = " by " + command.operator();
    if (command.action() == RolloutAction.UNDO) {
      return known.replaced().isEmpty() ? Optional.empty() : Optional.of(reverse(known, by));
    }
    if (command.action() == RolloutAction.PAUSE && isOpen) {
      return Optional.of(known.withState(RolloutState.PAUSED).withReason("paused" + by));
    }
    if (command.action() == RolloutAction.RESUME && isOpen) {
      return Optional.of(
          known.withState(RolloutState.ROLLING).withFailures(0).withReason("resumed" + by));
    }
    if (command.action() == RolloutAction.FINISH && known.state() == RolloutState.ROLLING) {
      return Optional.of(known.withState(RolloutState.DONE).withReason("every target was brought"));
    }
    return Optional.empty();
  }

  /** The replaced version becomes the wanted one, the wanted one is replaced. */
  private static RolloutRecord reverse(RolloutRecord known, String by) {
    List<String> replaced = new ArrayList<>(known.replaced());
    String wanted = replaced.remove(0);
    replaced.add(0, known.wanted());
    return known
        .withWanted(wanted)
        .withReplaced(replaced)
        .withState(RolloutState.ROLLING)
        .withUndone(!known.undone())
        .withLoads(0)
        .withFailures(0)
        .withReason("undone" + by);
  }

  /** Counts a load of the wanted version that ended well. */
  Optional<RolloutRecord> recordLoad(OrderRecord order) {
    return rollingTo(order.deployment(), order.modelVersion())
        .map(known -> put(known.withLoads(known.loads() + 1)));
  }

  /** Counts a target that failed with the wanted version; too many stop the change of version. */
  Optional<RolloutRecord> recordFailure(
      String deployment, String version, String cause, long atMillis) {
    return rollingTo(deployment, version).map(known -> put(withFailure(known, cause, atMillis)));
  }

  private static RolloutRecord withFailure(RolloutRecord known, String cause, long atMillis) {
    int failures = known.failures() + 1;
    RolloutRecord counted = known.withFailures(failures);
    boolean isTooMany =
        failures >= MIN_FAILURES_TO_STOP
            && failures > MAX_FAILURE_RATIO * (known.loads() + failures);
    return isTooMany
        ? counted
            .withState(RolloutState.STOPPED)
            .withReason(failures + " targets failed with " + known.wanted() + ", last: " + cause)
            .withChangedMillis(Math.max(known.changedMillis(), atMillis))
        : counted;
  }

  private Optional<RolloutRecord> rollingTo(String deployment, String version) {
    return Optional.ofNullable(records.get(deployment))
        .filter(known -> known.state() == RolloutState.ROLLING)
        .filter(known -> known.wanted().equals(version));
  }

  /** Returns the deployments whose targets are being brought to a version. */
  List<String> rollingTo(String version) {
    return records.values().stream()
        .filter(known -> known.state() == RolloutState.ROLLING && known.wanted().equals(version))
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

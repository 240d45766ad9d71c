package org.geraniumwharf.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.LoadedWeights;

/**
 * Plans the next orders: rollouts and versions that no deployment uses first, then missing
 * adapters, missing replicas and replicas beyond the maximum. Each step keeps {@link OrderRules}
 * together with the steps before it.
 *
 * <pre>{@code
 * PlacementPlan plan = PlacementPlanner.plan(snapshot, demandedReplicas, Set.of(), term, now);
 * plan.orders().forEach(...);
 * }</pre>
 */
public final class PlacementPlanner {

  private final Map<String, Integer> demandedReplicas;
  private final Set<String> inBackoff;
  private final long term;
  private final Instant now;
  private final List<PlannedOrder> orders = new ArrayList<>();
  private final List<HeldBackOrder> heldBack = new ArrayList<>();
  private final List<String> finished = new ArrayList<>();
  private PlacementSnapshot snapshot;

  private PlacementPlanner(
      PlacementSnapshot snapshot,
      Map<String, Integer> demandedReplicas,
      Set<String> inBackoff,
      long term,
      Instant now) {
    this.snapshot = snapshot;
    this.demandedReplicas = demandedReplicas;
    this.inBackoff = inBackoff;
    this.term = term;
    this.now = now;
  }

  /**
   * Returns the next orders, and those that a bound holds back.
   *
   * @param demandedReplicas replicas that demand requires, by deployment name; the minimum of the
   *     deployment when absent
   * @param inBackoff targets that must not receive an order yet
   * @param term term of the leader that plans
   */
  public static PlacementPlan plan(
      PlacementSnapshot snapshot,
      Map<String, Integer> demandedReplicas,
      Set<String> inBackoff,
      long term,
      Instant now) {
    PlacementPlanner planner =
        new PlacementPlanner(snapshot, demandedReplicas, inBackoff, term, now);
    for (Deployment deployment : snapshot.configuration().deployments()) {
      planner.planDeployment(deployment);
    }
    return new PlacementPlan(planner.orders, planner.heldBack, planner.finished);
  }

  private void planDeployment(Deployment deployment) {
    Optional<RolloutRecord> rollout = snapshot.openRollout(deployment);
    if (rollout.isPresent() && rollout.get().state() != RolloutState.ROLLING) {
      return;
    }
    if (rollout.isPresent()) {
      planSwap(deployment, rollout.get());
    }
    replaceUnusedVersions(deployment);
    addAdapters(deployment);
    addReplicas(deployment);
    if (rollout.isEmpty()) {
      removeReplicas(deployment);
    }
  }

  // -------------------------------------------------------------------- rollouts

  private void planSwap(Deployment deployment, RolloutRecord rollout) {
    String wanted = rollout.wanted();
    List<TargetRecord> old =
        enginesWithoutOrder(
            record -> PlacementSnapshot.serves(record, rollout.replaced()), byFreeCapacity());
    for (TargetRecord record : old) {
      Set<String> loadedOld = loadedAmong(record, rollout.replaced());
      if (PlacementSnapshot.serves(record, List.of(wanted))) {
        loadedOld.stream()
            .findFirst()
            .ifPresent(version -> addUnload(deployment, record, version, "version is replaced"));
      } else if (hasFreeCapacity(record)) {
        addLoad(
            deployment, record, List.of(), "version is wanted, the target has room beside the old");
      } else {
        addLoad(
            deployment, record, List.copyOf(loadedOld), "version is wanted in place of the old");
      }
    }
    boolean isComplete =
        old.isEmpty()
            && snapshot.orderedCount(deployment) == 0
            && snapshot.holdingCount(deployment) >= Math.max(1, deployment.minReplicas());
    if (isComplete) {
      finished.add(deployment.name());
    }
  }

  private static Set<String> loadedAmong(TargetRecord record, List<String> versions) {
    Set<String> loaded = new TreeSet<>(PlacementSnapshot.loadedVersions(record));
    loaded.retainAll(versions);
    return loaded;
  }

  private static boolean hasFreeCapacity(TargetRecord record) {
    return PlacementSnapshot.loadedVersions(record).size()
        < PlacementSnapshot.maxLoaded(record.announcement());
  }

  /**
   * Puts targets first that can load another version beside those they serve: no replica is lost.
   */
  private static Comparator<TargetRecord> byFreeCapacity() {
    return Comparator.comparing(record -> !hasFreeCapacity(record));
  }

  /**
   * Replaces versions that no deployment uses. A target that was unresponsive during a rollout
   * returns with such a version.
   */
  private void replaceUnusedVersions(Deployment deployment) {
    String wanted = snapshot.wantedVersion(deployment);
    List<TargetRecord> outdated =
        enginesWithoutOrder(
            record -> !unusedVersions(record, deployment).isEmpty(), byFreeCapacity());
    for (TargetRecord record : outdated) {
      List<String> unused = unusedVersions(record, deployment);
      if (PlacementSnapshot.serves(record, List.of(wanted))) {
        addUnload(deployment, record, unused.get(0), "no deployment asks for the version");
      } else if (isInAllowedDataCentre(record, deployment)
          && replicaCount(deployment) < deployment.maxReplicas()) {
        addLoad(deployment, record, unused, "version is wanted in place of one nobody asks for");
      }
    }
  }

  /** Returns the versions of the deployment's model that a target holds and no deployment uses. */
  private List<String> unusedVersions(TargetRecord record, Deployment deployment) {
    Optional<String> model = modelOf(snapshot.wantedVersion(deployment));
    return PlacementSnapshot.loadedVersions(record).stream()
        .filter(version -> model.isPresent() && modelOf(version).equals(model))
        .filter(
            version ->
                snapshot.configuration().deployments().stream()
                    .noneMatch(other -> snapshot.servableVersions(other).contains(version)))
        .toList();
  }

  private Optional<String> modelOf(String version) {
    return snapshot.configuration().modelVersion(version).map(ModelVersion::model);
  }

  // -------------------------------------------------------------------- adapters

  private void addAdapters(Deployment deployment) {
    String wanted = snapshot.wantedVersion(deployment);
    if (!wanted.equals(deployment.modelVersion())) {
      return;
    }
    for (TargetRecord record :
        enginesWithoutOrder(
            candidate -> PlacementSnapshot.serves(candidate, List.of(wanted)), byName())) {
      List<String> missing = new ArrayList<>(deployment.adapters());
      record.announcement().loaded().stream()
          .filter(loaded -> loaded.modelVersion().equals(wanted))
          .map(LoadedWeights::adapters)
          .forEach(missing::removeAll);
      if (!missing.isEmpty()) {
        addOrder(deployment, record, wanted, missing, List.of(), true, "adapters are missing");
      }
    }
  }

  // -------------------------------------------------------------------- replicas

  private void addReplicas(Deployment deployment) {
    int missing = desiredReplicas(deployment) - replicaCount(deployment);
    List<TargetRecord> free =
        enginesWithoutOrder(
            record -> isAvailable(record, deployment),
            byFewestInDataCentre(holdersByDataCentre(deployment)));
    for (TargetRecord record : free) {
      if (missing <= 0) {
        return;
      }
      List<String> replaces =
          hasFreeCapacity(record)
              ? List.of()
              : List.copyOf(PlacementSnapshot.loadedVersions(record));
      if (addLoad(deployment, record, replaces, "replicas are missing")) {
        missing--;
      }
    }
    if (missing > 0) {
      heldBack.add(
          new HeldBackOrder(
              "", "deployment " + deployment.name() + " lacks " + missing + " replicas"));
    }
  }

  /**
   * Returns the replicas that a deployment should have. A swap in place needs one more than the
   * floor, since otherwise no target could be swapped.
   */
  private int desiredReplicas(Deployment deployment) {
    int wanted = demandedReplicas.getOrDefault(deployment.name(), deployment.minReplicas());
    int bounded = Math.max(deployment.minReplicas(), Math.min(wanted, deployment.maxReplicas()));
    return snapshot.openRollout(deployment).isEmpty()
        ? bounded
        : Math.max(bounded, PlacementSnapshot.floor(deployment) + 1);
  }

  /**
   * Returns the number of engines that serve a deployment or have an order to load its wanted
   * version. Replaced versions count too, since the rollout swaps them.
   */
  private int replicaCount(Deployment deployment) {
    List<String> servable = snapshot.servableVersions(deployment);
    String wanted = snapshot.wantedVersion(deployment);
    return (int)
        snapshot.liveEngines().stream()
            .filter(
                record ->
                    PlacementSnapshot.serves(record, servable)
                        || record
                            .order()
                            .filter(order -> order.load() && order.modelVersion().equals(wanted))
                            .isPresent())
            .count();
  }

  /**
   * Returns whether an engine may load for a deployment: it has free capacity, or every deployment
   * that it serves has surplus replicas.
   */
  private boolean isAvailable(TargetRecord record, Deployment deployment) {
    if (!isInAllowedDataCentre(record, deployment)
        || PlacementSnapshot.serves(record, snapshot.servableVersions(deployment))) {
      return false;
    }
    if (hasFreeCapacity(record)) {
      return true;
    }
    return snapshot.configuration().deployments().stream()
        .filter(other -> PlacementSnapshot.serves(record, snapshot.servableVersions(other)))
        .allMatch(this::hasSurplus);
  }

  private boolean hasSurplus(Deployment deployment) {
    return snapshot.openRollout(deployment).isEmpty()
        && snapshot.servingCount(deployment) > desiredReplicas(deployment);
  }

  private static boolean isInAllowedDataCentre(TargetRecord record, Deployment deployment) {
    return deployment.dataCentres().isEmpty()
        || deployment.dataCentres().contains(record.announcement().dataCentre());
  }

  private Map<String, Integer> holdersByDataCentre(Deployment deployment) {
    Map<String, Integer> holders = new HashMap<>();
    List<String> servable = snapshot.servableVersions(deployment);
    snapshot.liveEngines().stream()
        .filter(record -> PlacementSnapshot.serves(record, servable))
        .forEach(record -> holders.merge(record.announcement().dataCentre(), 1, Integer::sum));
    return holders;
  }

  private static Comparator<TargetRecord> byFewestInDataCentre(Map<String, Integer> holders) {
    ToIntFunction<TargetRecord> inDataCentre =
        record -> holders.getOrDefault(record.announcement().dataCentre(), 0);
    return byFreeCapacity().thenComparingInt(inDataCentre);
  }

  private void removeReplicas(Deployment deployment) {
    String wanted = snapshot.wantedVersion(deployment);
    boolean isShared =
        snapshot.configuration().deployments().stream()
            .anyMatch(
                other ->
                    !other.name().equals(deployment.name())
                        && snapshot.servableVersions(other).contains(wanted));
    int surplus = snapshot.servingCount(deployment) - deployment.maxReplicas();
    if (isShared || surplus <= 0) {
      return;
    }
    List<TargetRecord> holders =
        enginesWithoutOrder(
            record -> PlacementSnapshot.serves(record, List.of(wanted)),
            byFewestInDataCentre(holdersByDataCentre(deployment)).reversed());
    for (TargetRecord record : holders.subList(0, Math.min(surplus, holders.size()))) {
      addUnload(deployment, record, wanted, "more replicas than the deployment allows");
    }
  }

  // ---------------------------------------------------------------------- orders

  private static Comparator<TargetRecord> byName() {
    return Comparator.comparing(record -> record.announcement().id());
  }

  /**
   * Returns the matching live engines without an open order, sorted by {@code comparator} and then
   * by name.
   */
  private List<TargetRecord> enginesWithoutOrder(
      Predicate<TargetRecord> predicate, Comparator<TargetRecord> comparator) {
    return snapshot.liveEngines().stream()
        .filter(record -> record.order().isEmpty())
        .filter(predicate)
        .sorted(comparator.thenComparing(byName()))
        .toList();
  }

  private boolean addLoad(
      Deployment deployment, TargetRecord record, List<String> replaces, String reason) {
    String wanted = snapshot.wantedVersion(deployment);
    return addOrder(deployment, record, wanted, List.of(), replaces, true, reason);
  }

  private void addUnload(
      Deployment deployment, TargetRecord record, String version, String reason) {
    addOrder(deployment, record, version, List.of(), List.of(), false, reason);
  }

  private boolean addOrder(
      Deployment deployment,
      TargetRecord record,
      String version,
      List<String> adapters,
      List<String> replaces,
      boolean isLoad,
      String reason) {
    String target = record.announcement().id();
    long incarnation = record.announcement().incarnation();
    String store =
        isLoad
            ? OrderRules.weightStoreOf(snapshot.configuration(), version, adapters).orElse("")
            : "";
    OrderRecord order =
        OrderRecord.of(
            term,
            0,
            deployment.name(),
            version,
            adapters,
            replaces,
            isLoad,
            store,
            now.toEpochMilli());
    Optional<String> rejection =
        inBackoff.contains(target)
            ? Optional.of("the target rests after its last order")
            : OrderRules.rejectionReason(snapshot, target, incarnation, order);
    if (rejection.isPresent()) {
      heldBack.add(new HeldBackOrder(target, rejection.get()));
      return false;
    }
    orders.add(new PlannedOrder(target, incarnation, order, reason));
    snapshot = snapshot.withOrder(target, order);
    return true;
  }
}

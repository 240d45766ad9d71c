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
 * Plans the next orders: changes of version first, then missing adapters, missing replicas and
 * replicas beyond the bound. Each step keeps {@link OrderRules} together with the steps before it.
 *
 * <pre>{@code
 * PlacementPlan plan = PlacementPlanner.plan(board, desired, Set.of(), term, now);
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
   * Plans.
   *
   * @param demandedReplicas replicas that demand calls for, by deployment; the published fewest
   *     when absent
   * @param inBackoff targets that must not be given an order now
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

  // ------------------------------------------------------------ change of version

  private void planSwap(Deployment deployment, RolloutRecord rollout) {
    String wanted = rollout.wanted();
    List<TargetRecord> old =
        enginesWithoutOrder(
            record -> PlacementSnapshot.serves(record, rollout.replaced()), byFreeCapacity());
    for (TargetRecord record : old) {
      Set<String> given = loadedAmong(record, rollout.replaced());
      if (PlacementSnapshot.serves(record, List.of(wanted))) {
        given.stream()
            .findFirst()
            .ifPresent(version -> addUnload(deployment, record, version, "version is replaced"));
      } else if (hasFreeCapacity(record)) {
        addLoad(
            deployment, record, List.of(), "version is wanted, the target has room beside the old");
      } else {
        addLoad(deployment, record, List.copyOf(given), "version is wanted in place of the old");
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

  /** Targets that can load beside what they serve come first: they cost no capacity. */
  private static Comparator<TargetRecord> byFreeCapacity() {
    return Comparator.comparing(record -> !hasFreeCapacity(record));
  }

  /** A target that was silent during a swap comes back with a version that nobody asks for. */
  private void replaceUnusedVersions(Deployment deployment) {
    String wanted = snapshot.wantedVersion(deployment);
    List<TargetRecord> late =
        enginesWithoutOrder(
            record -> !unusedVersions(record, deployment).isEmpty(), byFreeCapacity());
    for (TargetRecord record : late) {
      List<String> given = unusedVersions(record, deployment);
      if (PlacementSnapshot.serves(record, List.of(wanted))) {
        addUnload(deployment, record, given.get(0), "no deployment asks for the version");
      } else if (isInAllowedDataCentre(record, deployment)
          && replicaCount(deployment) < deployment.maxReplicas()) {
        addLoad(deployment, record, given, "version is wanted in place of one nobody asks for");
      }
    }
  }

  /** Returns the versions of a target, of the deployment's model, that no deployment asks for. */
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

  /** A swap in place needs one more than the floor, or no target could ever be swapped. */
  private int desiredReplicas(Deployment deployment) {
    int wanted = demandedReplicas.getOrDefault(deployment.name(), deployment.minReplicas());
    int bounded = Math.max(deployment.minReplicas(), Math.min(wanted, deployment.maxReplicas()));
    return snapshot.openRollout(deployment).isEmpty()
        ? bounded
        : Math.max(bounded, PlacementSnapshot.floor(deployment) + 1);
  }

  /** Counts what serves or is about to: old versions too, as the swap brings them along. */
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

  /** An engine is free when it holds nothing that any deployment needs, or more than it needs. */
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

  /** Returns live engines without an open order, ordered, by name where the order is equal. */
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

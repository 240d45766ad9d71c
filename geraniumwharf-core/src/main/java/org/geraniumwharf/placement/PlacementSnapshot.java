package org.geraniumwharf.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;

/**
 * The wanted configuration and the state of the targets at one index. Immutable.
 *
 * <pre>{@code
 * PlacementSnapshot snapshot = PlacementSnapshot.of(configuration, records, rollouts);
 * int serving = snapshot.servingCount(deployment);
 * }</pre>
 */
public final class PlacementSnapshot {

  private final Configuration configuration;
  private final Map<String, TargetRecord> targets;
  private final Map<String, RolloutRecord> rollouts;

  private PlacementSnapshot(
      Configuration configuration,
      Map<String, TargetRecord> targets,
      Map<String, RolloutRecord> rollouts) {
    this.configuration = configuration;
    this.targets = targets;
    this.rollouts = rollouts;
  }

  /**
   * Creates a snapshot.
   *
   * @param rollouts newest rollout by deployment name
   */
  public static PlacementSnapshot of(
      Configuration configuration,
      Collection<TargetRecord> records,
      Map<String, RolloutRecord> rollouts) {
    TreeMap<String, TargetRecord> targets = new TreeMap<>();
    records.forEach(record -> targets.put(record.announcement().id(), record));
    return new PlacementSnapshot(configuration, targets, Map.copyOf(rollouts));
  }

  /** Returns the snapshot as it is after an order is issued to a target. */
  PlacementSnapshot withOrder(String target, OrderRecord order) {
    TreeMap<String, TargetRecord> changed = new TreeMap<>(targets);
    changed.put(target, targets.get(target).withOrder(Optional.of(order)));
    return new PlacementSnapshot(configuration, changed, rollouts);
  }

  Configuration configuration() {
    return configuration;
  }

  public Optional<TargetRecord> target(String id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Returns the engines whose lease has not expired and that are not leaving, ordered by name. */
  List<TargetRecord> liveEngines() {
    return targets.values().stream().filter(PlacementSnapshot::isLiveEngine).toList();
  }

  static boolean isLiveEngine(TargetRecord record) {
    return !record.lapsed()
        && !record.announcement().leaving()
        && record.announcement().kind() == TargetKind.ENGINE;
  }

  /** Returns the open orders of all targets, including those whose lease has expired. */
  Stream<OrderRecord> openOrders() {
    return targets.values().stream().flatMap(record -> record.order().stream());
  }

  /** Returns the rollout of a deployment that is not done yet. */
  public Optional<RolloutRecord> openRollout(Deployment deployment) {
    return Optional.ofNullable(rollouts.get(deployment.name()))
        .filter(rollout -> rollout.state() != RolloutState.DONE);
  }

  /** Returns the model version that the targets of a deployment should load. */
  public String wantedVersion(Deployment deployment) {
    return versions(deployment).wanted();
  }

  /** Returns the model versions that may serve a deployment, the wanted one first. */
  public List<String> servableVersions(Deployment deployment) {
    return versions(deployment).all();
  }

  private ServableVersions versions(Deployment deployment) {
    return ServableVersions.of(deployment, Optional.ofNullable(rollouts.get(deployment.name())));
  }

  /** Returns the fewest targets of a deployment that an order has to leave serving. */
  public static int floor(Deployment deployment) {
    return deployment.swapFloor().orElse(deployment.minReplicas());
  }

  /** Returns the number of engines that may serve requests for a deployment. */
  public int servingCount(Deployment deployment) {
    List<String> servable = servableVersions(deployment);
    return (int) liveEngines().stream().filter(record -> serves(record, servable)).count();
  }

  /**
   * Returns the number of engines that hold the wanted version of a deployment and have no order to
   * unload it.
   */
  public int holdingCount(Deployment deployment) {
    List<String> wanted = List.of(wantedVersion(deployment));
    return (int) liveEngines().stream().filter(record -> serves(record, wanted)).count();
  }

  /** Returns the number of targets with an open order for a deployment. */
  public int orderedCount(Deployment deployment) {
    return (int) openOrders().filter(order -> order.deployment().equals(deployment.name())).count();
  }

  static boolean serves(TargetRecord record, Collection<String> versions) {
    return record.announcement().loaded().stream()
        .map(LoadedWeights::modelVersion)
        .anyMatch(version -> versions.contains(version) && !isBeingUnloaded(record, version));
  }

  /** Returns whether an open order unloads or replaces a version at a target. */
  public static boolean isBeingUnloaded(TargetRecord record, String version) {
    return record.order().filter(order -> unloads(order, version)).isPresent();
  }

  static boolean unloads(OrderRecord order, String version) {
    return order.replaces().contains(version)
        || (!order.load() && order.modelVersion().equals(version));
  }

  static Set<String> loadedVersions(TargetRecord record) {
    return record.announcement().loaded().stream()
        .map(LoadedWeights::modelVersion)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  static int maxLoaded(Announcement announcement) {
    return announcement.profile().map(EngineProfile::maxLoaded).orElse(1);
  }
}

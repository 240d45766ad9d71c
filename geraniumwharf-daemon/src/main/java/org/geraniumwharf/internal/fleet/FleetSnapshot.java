package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.geraniumwharf.announcement.AnnouncementOrder;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.placement.PlacementSnapshot;
import org.geraniumwharf.placement.ServableVersions;
import org.geraniumwharf.relay.ColdEnd;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.TargetKind;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.ViewChange;

/** Configuration and targets at one index. Immutable; look-ups of targets are cached. */
public final class FleetSnapshot {

  private static final FleetSnapshot EMPTY =
      new FleetSnapshot(
          0, Configuration.empty(), Map.of(), Map.of(), Map.of(), Set.of(), ColdEnds.none());

  private final long index;
  private final Configuration configuration;
  private final Map<String, TargetRecord> targets;
  private final Map<String, RolloutRecord> rollouts;
  private final Map<String, NamedWeights> weights;
  private final Set<String> evacuated;
  private final ColdEnds coldEnds;
  private final Map<String, List<RoutableTarget>> routable = new ConcurrentHashMap<>();

  private FleetSnapshot(
      long index,
      Configuration configuration,
      Map<String, TargetRecord> targets,
      Map<String, RolloutRecord> rollouts,
      Map<String, NamedWeights> weights,
      Set<String> evacuated,
      ColdEnds coldEnds) {
    this.index = index;
    this.configuration = configuration;
    this.targets = targets;
    this.rollouts = rollouts;
    this.weights = weights;
    this.evacuated = evacuated;
    this.coldEnds = coldEnds;
  }

  static FleetSnapshot empty() {
    return EMPTY;
  }

  static FleetSnapshot of(FleetView view) {
    return new FleetSnapshot(
        view.index(),
        Configuration.of(view.configurationVersion(), view.objects()),
        withTargets(Map.of(), view.targets()),
        withRollouts(Map.of(), view.rollouts()),
        withWeights(Map.of(), view.weights()),
        withEvacuations(Set.of(), view.evacuations()),
        ColdEnds.none());
  }

  FleetSnapshot changed(ViewChange change) {
    Configuration newConfiguration =
        change.configurationVersion() == configuration.version()
            ? configuration
            : configuration.withChanges(
                change.configurationVersion(), change.upserts(), change.removals());
    return new FleetSnapshot(
        change.index(),
        newConfiguration,
        withTargets(targets, change.targets()),
        withRollouts(rollouts, change.rollouts()),
        withWeights(weights, change.weights()),
        withEvacuations(evacuated, change.evacuations()),
        coldEnds);
  }

  /** Returns this view as the successor of another one, at its arrival. */
  FleetSnapshot arrivedAfter(FleetSnapshot before, Instant now) {
    return new FleetSnapshot(
        index,
        configuration,
        targets,
        rollouts,
        weights,
        evacuated,
        before.coldEnds.updated(targets.values(), now));
  }

  /** Returns the same view at a later index, at which nothing in it had changed. */
  FleetSnapshot advanced(long newIndex) {
    return new FleetSnapshot(
        newIndex, configuration, targets, rollouts, weights, evacuated, coldEnds);
  }

  private static Map<String, TargetRecord> withTargets(
      Map<String, TargetRecord> before, List<TargetRecord> changes) {
    Map<String, TargetRecord> after = new HashMap<>(before);
    changes.forEach(record -> after.put(record.announcement().id(), record));
    return after;
  }

  private static Map<String, RolloutRecord> withRollouts(
      Map<String, RolloutRecord> before, List<RolloutRecord> changes) {
    Map<String, RolloutRecord> after = new HashMap<>(before);
    changes.forEach(record -> after.put(record.deployment(), record));
    return after;
  }

  private static Map<String, NamedWeights> withWeights(
      Map<String, NamedWeights> before, List<NamedWeights> changes) {
    Map<String, NamedWeights> after = new HashMap<>(before);
    changes.forEach(named -> after.put(named.model(), named));
    return after;
  }

  private static Set<String> withEvacuations(Set<String> before, List<Evacuation> changes) {
    if (changes.isEmpty()) {
      return before;
    }
    Set<String> after = new TreeSet<>(before);
    for (Evacuation change : changes) {
      if (change.active()) {
        after.add(change.dataCentre());
      } else {
        after.remove(change.dataCentre());
      }
    }
    return Set.copyOf(after);
  }

  /** Returns the data centres whose targets get no requests. */
  public Set<String> evacuated() {
    return evacuated;
  }

  /** Returns the newest version of a model's weights that an operator named. */
  public Optional<NamedWeights> namedWeights(String model) {
    return Optional.ofNullable(weights.get(model));
  }

  /** Returns the newest named version of each model's weights. */
  public Collection<NamedWeights> namedWeights() {
    return weights.values();
  }

  public long index() {
    return index;
  }

  public Configuration configuration() {
    return configuration;
  }

  public Collection<TargetRecord> targets() {
    return targets.values();
  }

  public Optional<TargetRecord> target(String id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Returns the model versions that may answer for a deployment. */
  public ServableVersions servableVersions(Deployment deployment) {
    return ServableVersions.of(deployment, rollout(deployment.name()));
  }

  public Optional<RolloutRecord> rollout(String deployment) {
    return Optional.ofNullable(rollouts.get(deployment));
  }

  /** Tells whether a target holds a version that is being replaced. */
  boolean isBeingReplaced(Announcement announcement) {
    return rollouts.values().stream()
        .filter(rollout -> rollout.state() == RolloutState.ROLLING)
        .anyMatch(
            rollout ->
                announcement.loaded().stream()
                    .anyMatch(loaded -> rollout.replaced().contains(loaded.modelVersion())));
  }

  /** Returns what placement decides by. */
  public PlacementSnapshot placement() {
    return PlacementSnapshot.of(configuration, targets.values(), rollouts);
  }

  /** Returns until when targets are cold, by their ids. */
  public Map<String, ColdEnd> coldEnds() {
    return coldEnds.byTarget();
  }

  /**
   * Tells whether the view shows a live target just as it announces itself, sequence aside.
   *
   * @param announcement its announcement, with the time for which it stays cold from now on
   */
  public boolean shows(Announcement announcement, Instant now) {
    TargetRecord record = targets.get(announcement.id());
    return record != null
        && !record.lapsed()
        && AnnouncementOrder.hasSameContent(record.announcement(), announcement)
        && coldEnds.shows(announcement, now);
  }

  /** Returns the engines that may take new work for a model version and adapter. */
  public List<RoutableTarget> engines(String modelVersion, String adapter) {
    return routable.computeIfAbsent(
        "engine\n" + modelVersion + "\n" + adapter,
        key -> select(record -> isEngineWith(record, modelVersion, adapter)));
  }

  /** Returns the targets that may take new work for a plain service. */
  public List<RoutableTarget> services(String service) {
    return routable.computeIfAbsent(
        "service\n" + service,
        key ->
            select(
                record ->
                    record.announcement().kind() == TargetKind.SERVICE
                        && record.announcement().service().filter(service::equals).isPresent()));
  }

  /** Returns the stores that may be asked and written to. */
  public List<RoutableTarget> stores() {
    return routable.computeIfAbsent(
        "store", key -> select(record -> record.announcement().kind() == TargetKind.STORE));
  }

  /** Returns the engines that keep a prefix cache. */
  public List<RoutableTarget> cachingEngines() {
    return routable.computeIfAbsent(
        "caching",
        key ->
            select(
                record ->
                    record.announcement().kind() == TargetKind.ENGINE
                        && record
                            .announcement()
                            .capabilities()
                            .filter(Capabilities::transfer)
                            .isPresent()));
  }

  /** A version that an order takes away gets no new work, whether or not the order arrived yet. */
  private static boolean isEngineWith(TargetRecord record, String modelVersion, String adapter) {
    return record.announcement().kind() == TargetKind.ENGINE
        && !PlacementSnapshot.isBeingUnloaded(record, modelVersion)
        && record.announcement().loaded().stream()
            .anyMatch(
                loaded ->
                    loaded.modelVersion().equals(modelVersion)
                        && (adapter.isEmpty() || loaded.adapters().contains(adapter)));
  }

  private List<RoutableTarget> select(Predicate<TargetRecord> predicate) {
    return targets.values().stream()
        .filter(record -> !record.lapsed() && !record.announcement().leaving())
        .filter(predicate)
        .map(TargetRecord::announcement)
        .filter(TargetUrls::isCallable)
        .map(FleetSnapshot::routableTarget)
        .toList();
  }

  private static RoutableTarget routableTarget(Announcement announcement) {
    return RoutableTarget.of(
        announcement.id(),
        announcement.address(),
        announcement.dataCentre(),
        announcement.profile().orElse(RoutableTarget.DEFAULT_PROFILE));
  }
}

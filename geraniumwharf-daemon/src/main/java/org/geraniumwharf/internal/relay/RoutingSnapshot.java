package org.geraniumwharf.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.announcement.AnnouncedAddress;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.NumericAddress;
import org.geraniumwharf.relay.RelayTable;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.weights.WeightsVersion;

/** Routes and targets of each service, derived from one view. Immutable. */
final class RoutingSnapshot {

  private final FleetSnapshot view;
  private final RelayTable table;
  private final List<CacheStore> stores;
  private final Map<String, List<RelayTarget>> targetsByService = new HashMap<>();
  private final Set<String> targetIds = new HashSet<>();
  private final Set<String> unusableIds = new HashSet<>();

  private RoutingSnapshot(FleetSnapshot view, RelayTable table, List<CacheStore> stores) {
    this.view = view;
    this.table = table;
    this.stores = stores;
    Map<String, Announcement> newestAtAddress = new HashMap<>();
    for (TargetRecord record : view.targets()) {
      if (!record.lapsed()) {
        newestAtAddress.merge(
            record.announcement().address(), record.announcement(), RoutingSnapshot::latestStarted);
      }
    }
    newestAtAddress.values().stream()
        .filter(announcement -> !announcement.leaving() && announcement.service().isPresent())
        .forEach(this::add);
  }

  /** Derives a snapshot from a view; reuses what the previous one derived from the same objects. */
  static RoutingSnapshot of(FleetSnapshot view, Optional<RoutingSnapshot> previous) {
    Optional<RoutingSnapshot> reusable =
        previous.filter(earlier -> earlier.table.isBuiltFrom(view.configuration()));
    return new RoutingSnapshot(
        view,
        reusable.map(RoutingSnapshot::table).orElseGet(() -> RelayTable.of(view.configuration())),
        reusable
            .map(RoutingSnapshot::stores)
            .orElseGet(() -> ManagedStores.of(view.configuration()).usable()));
  }

  /**
   * Returns the announcement of the target that started last. It owns the address, even if an
   * announcement of an earlier process at the same address arrives later.
   */
  private static Announcement latestStarted(Announcement one, Announcement other) {
    return one.incarnation() >= other.incarnation() ? one : other;
  }

  private void add(Announcement announcement) {
    Optional<Long> version = weightsVersion(announcement);
    boolean isConnectable =
        NumericAddress.parse(AnnouncedAddress.hostAndPort(announcement)).isPresent();
    if (!isConnectable || version.isEmpty() || lacksWeights(announcement)) {
      unusableIds.add(announcement.id());
      return;
    }
    RelayTarget target =
        new RelayTarget(
            announcement.id(),
            announcement.incarnation(),
            AnnouncedAddress.hostAndPort(announcement),
            announcement.dataCentre(),
            announcement.slots(),
            model(announcement),
            version.get());
    targetsByService
        .computeIfAbsent(announcement.service().orElseThrow(), name -> new ArrayList<>())
        .add(target);
    targetIds.add(target.id());
  }

  /** Returns whether nobody can tell which weights of the models of its service an engine holds. */
  private boolean lacksWeights(Announcement announcement) {
    return announcement.loaded().isEmpty()
        && table
            .service(announcement.service().orElseThrow())
            .flatMap(RelayService::engine)
            .filter(engine -> !engine.models().isEmpty())
            .isPresent();
  }

  /**
   * Returns the version of the first weights, which are announced as {@code model@number}: 0
   * without weights, empty if it is no number.
   */
  private static Optional<Long> weightsVersion(Announcement announcement) {
    if (announcement.loaded().isEmpty()) {
      return Optional.of(0L);
    }
    String name = announcement.loaded().get(0).modelVersion();
    return WeightsVersion.parse(name.substring(name.lastIndexOf('@') + 1));
  }

  /** Returns the model of the first weights; empty without weights. */
  private static String model(Announcement announcement) {
    if (announcement.loaded().isEmpty()) {
      return "";
    }
    String name = announcement.loaded().get(0).modelVersion();
    return name.substring(0, Math.max(0, name.lastIndexOf('@')));
  }

  FleetSnapshot view() {
    return view;
  }

  RelayTable table() {
    return table;
  }

  /** Returns the managed cache stores. */
  List<CacheStore> stores() {
    return stores;
  }

  List<RelayTarget> targetsOf(String service) {
    return targetsByService.getOrDefault(service, List.of());
  }

  List<RelayTarget> targets() {
    return targetsByService.values().stream().flatMap(List::stream).toList();
  }

  Set<String> targetIds() {
    return targetIds;
  }

  /** Returns the targets that are left out because their announcements cannot be used. */
  Set<String> unusableIds() {
    return unusableIds;
  }
}

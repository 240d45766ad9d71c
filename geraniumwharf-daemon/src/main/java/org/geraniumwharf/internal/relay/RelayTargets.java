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
import org.geraniumwharf.relay.RelayTable;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;

/** What the relay needs of one view: the routes and the targets of each service. Immutable. */
final class RelayTargets {

  private final FleetSnapshot view;
  private final RelayTable table;
  private final Map<String, List<RelayTarget>> targetsOfService = new HashMap<>();
  private final Set<String> ids = new HashSet<>();

  private RelayTargets(FleetSnapshot view, RelayTable table) {
    this.view = view;
    this.table = table;
    Map<String, Announcement> newestAtAddress = new HashMap<>();
    for (TargetRecord record : view.targets()) {
      if (!record.lapsed()) {
        newestAtAddress.merge(
            record.announcement().address(), record.announcement(), RelayTargets::newer);
      }
    }
    newestAtAddress.values().stream()
        .filter(announcement -> !announcement.leaving() && announcement.service().isPresent())
        .forEach(this::add);
  }

  /** Derives the targets of a view; the table of an equal configuration is used again. */
  static RelayTargets of(FleetSnapshot view, Optional<RelayTargets> before) {
    RelayTable table =
        before
            .map(RelayTargets::table)
            .filter(known -> known.isOf(view.configuration()))
            .orElseGet(() -> RelayTable.of(view.configuration()));
    return new RelayTargets(view, table);
  }

  /** An address belongs to the instance that started last, whoever announces it later. */
  private static Announcement newer(Announcement one, Announcement other) {
    return one.incarnation() >= other.incarnation() ? one : other;
  }

  private void add(Announcement announcement) {
    RelayTarget target =
        new RelayTarget(
            announcement.id(),
            AnnouncedAddress.hostAndPort(announcement),
            announcement.dataCentre(),
            announcement.slots(),
            announcement.loaded().stream().findFirst().map(RelayTargets::version).orElse(0L));
    targetsOfService
        .computeIfAbsent(announcement.service().orElseThrow(), name -> new ArrayList<>())
        .add(target);
    ids.add(target.id());
  }

  /** A version of weights is announced as {@code model@number}. */
  private static long version(LoadedWeights loaded) {
    String name = loaded.modelVersion();
    return Long.parseLong(name.substring(name.lastIndexOf('@') + 1));
  }

  FleetSnapshot view() {
    return view;
  }

  RelayTable table() {
    return table;
  }

  List<RelayTarget> of(String service) {
    return targetsOfService.getOrDefault(service, List.of());
  }

  Set<String> ids() {
    return ids;
  }
}

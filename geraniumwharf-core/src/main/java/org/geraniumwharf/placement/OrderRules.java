package org.geraniumwharf.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.WeightStore;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.TargetRecord;

/**
 * The bounds that every order keeps. The leader plans within them and every replica checks them
 * when it applies an order, so that the orders of two leaders together cannot exceed a bound
 * either.
 */
public final class OrderRules {

  private OrderRules() {}

  /**
   * Returns why an order must not be issued; empty when it may be.
   *
   * @param incarnation incarnation of the target that the order was planned for
   */
  public static Optional<String> rejectionReason(
      PlacementSnapshot snapshot, String target, long incarnation, OrderRecord order) {
    Optional<TargetRecord> found = snapshot.target(target);
    if (found.isEmpty() || !PlacementSnapshot.isLiveEngine(found.get())) {
      return Optional.of("the target is no live engine");
    }
    TargetRecord record = found.get();
    if (record.announcement().incarnation() != incarnation) {
      return Optional.of("the target has started again");
    }
    if (record.order().isPresent()) {
      return Optional.of("the target has an order that has not ended");
    }
    if (order.load() && !hasCapacity(record, order)) {
      return Optional.of("the target has no room for another version");
    }
    return storeRejectionReason(snapshot, order)
        .or(() -> floorRejectionReason(snapshot, record, order));
  }

  private static boolean hasCapacity(TargetRecord record, OrderRecord order) {
    Set<String> after = new HashSet<>(PlacementSnapshot.loadedVersions(record));
    order.replaces().forEach(after::remove);
    after.add(order.modelVersion());
    return after.size() <= PlacementSnapshot.maxLoaded(record.announcement());
  }

  private static Optional<String> storeRejectionReason(
      PlacementSnapshot snapshot, OrderRecord order) {
    if (!order.load()) {
      return Optional.empty();
    }
    Optional<WeightStore> store = snapshot.configuration().weightStore(order.weightStore());
    if (store.isEmpty()) {
      return Optional.of("weight store " + order.weightStore() + " is not published");
    }
    long loads =
        snapshot
            .openOrders()
            .filter(OrderRecord::load)
            .filter(open -> open.weightStore().equals(order.weightStore()))
            .count();
    int bound = store.get().maxConcurrentLoads();
    return loads < bound
        ? Optional.empty()
        : Optional.of("weight store " + order.weightStore() + " already has " + loads + " loads");
  }

  /**
   * Returns a reason when the order stops a target from serving and too few others would still
   * serve.
   */
  private static Optional<String> floorRejectionReason(
      PlacementSnapshot snapshot, TargetRecord record, OrderRecord order) {
    TargetRecord after = record.withOrder(Optional.of(order));
    for (Deployment deployment : snapshot.configuration().deployments()) {
      List<String> servable = snapshot.servableVersions(deployment);
      boolean stops =
          PlacementSnapshot.serves(record, servable) && !PlacementSnapshot.serves(after, servable);
      int left = stops ? snapshot.servingCount(deployment) - 1 : Integer.MAX_VALUE;
      if (left < PlacementSnapshot.floor(deployment)) {
        return Optional.of(
            "deployment "
                + deployment.name()
                + " would be left with "
                + left
                + " serving targets, its floor is "
                + PlacementSnapshot.floor(deployment));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the weight store that a load reads from: that of the first missing adapter, or without
   * one that of the model version.
   */
  static Optional<String> weightStoreOf(
      Configuration configuration, String modelVersion, List<String> missingAdapters) {
    if (missingAdapters.isEmpty()) {
      return configuration.modelVersion(modelVersion).map(version -> version.weightStore());
    }
    return configuration.adapter(missingAdapters.get(0)).map(adapter -> adapter.weightStore());
  }
}

package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.OrderProgress;
import org.geraniumwharf.schema.targets.OrderState;
import org.geraniumwharf.schema.targets.TargetKind;
import org.geraniumwharf.schema.targets.WeightOrder;
import org.geraniumwharf.schema.view.FleetView;
import org.junit.jupiter.api.Test;

final class OrderDeliveryTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(1000);
  private static final long TERM = 3;
  private static final long SEQUENCE = 40;

  private final FleetViewHolder holder = FleetViewHolder.create();
  private final OrderDelivery delivery = OrderDelivery.create(holder, EventLog.none());

  @Test
  void should_hand_out_the_recorded_order_of_a_fresh_view() {
    showOrder();

    Optional<WeightOrder> order = delivery.answer(announcement(1), true, NOW).order();

    assertEquals(SEQUENCE, order.orElseThrow().sequence());
  }

  @Test
  void should_withhold_an_order_when_the_view_is_a_second_old() {
    showOrder();

    Optional<WeightOrder> order =
        delivery.answer(announcement(1), true, NOW.plus(OrderDelivery.MAX_VIEW_AGE)).order();

    assertEquals(Optional.empty(), order);
  }

  @Test
  void should_not_repeat_an_order_that_the_target_has_taken() {
    showOrder();
    Announcement working =
        announcement(1)
            .withOrder(Optional.of(OrderProgress.of(TERM, SEQUENCE, OrderState.WORKING)));

    Optional<WeightOrder> order = delivery.answer(working, true, NOW).order();

    assertEquals(Optional.empty(), order);
  }

  @Test
  void should_withhold_an_order_from_a_later_start_of_the_target() {
    showOrder();

    Optional<WeightOrder> order = delivery.answer(announcement(2), true, NOW).order();

    assertEquals(Optional.empty(), order);
  }

  private void showOrder() {
    OrderRecord order =
        OrderRecord.of(
            TERM, SEQUENCE, "drafting", "v2", List.of(), List.of("v1"), true, "weights", 0);
    TargetRecord record = TargetRecord.of(announcement(1), false, Optional.of(order));
    FleetView view =
        FleetView.of(1, 1, List.of(), List.of(record), List.of(), List.of(), List.of());
    holder.apply(WatchSnapshot.of(view, 0, Optional.empty(), List.of()), NOW);
  }

  private static Announcement announcement(long incarnation) {
    return Announcement.of(
        "engine-1",
        incarnation,
        1,
        "http://127.0.0.1:9",
        "dc-1",
        TargetKind.ENGINE,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        0,
        0);
  }
}

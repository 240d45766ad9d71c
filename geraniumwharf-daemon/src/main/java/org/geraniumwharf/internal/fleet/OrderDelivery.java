package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.AnnouncementAnswer;
import org.geraniumwharf.schema.targets.OrderProgress;
import org.geraniumwharf.schema.targets.WeightOrder;

/**
 * Answers announcements, with the order that is recorded for the target. An order goes out only
 * while the view was lately confirmed as the newest: the leader lets a longer time pass before it
 * orders the same target again, so an order that was replaced is never handed out.
 */
public final class OrderDelivery {

  /** Age of a view beyond which it hands out no order. */
  static final Duration MAX_VIEW_AGE = Duration.ofSeconds(1);

  private static final long HEARTBEAT_MILLIS = 1000;

  /** A target that is about to be ordered, or works on an order, is heard more often. */
  private static final long BUSY_HEARTBEAT_MILLIS = 200;

  private final FleetViewHolder fleet;
  private final EventLog log;

  private OrderDelivery(FleetViewHolder fleet, EventLog log) {
    this.fleet = fleet;
    this.log = log;
  }

  public static OrderDelivery create(FleetViewHolder fleet, EventLog log) {
    return new OrderDelivery(fleet, log);
  }

  /** Answers an announcement that was or was not accepted. */
  public AnnouncementAnswer answer(Announcement announcement, boolean isAccepted, Instant now) {
    FleetSnapshot view = fleet.current();
    Optional<OrderRecord> order = view.target(announcement.id()).flatMap(TargetRecord::order);
    boolean isBusy = order.isPresent() || view.isBeingReplaced(announcement);
    return AnnouncementAnswer.of(
        isAccepted,
        isBusy ? BUSY_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS,
        order
            .filter(open -> isAccepted && isDue(view, announcement, open, now))
            .map(open -> send(announcement.id(), open)));
  }

  private boolean isDue(
      FleetSnapshot view, Announcement announcement, OrderRecord order, Instant now) {
    boolean isSameStart =
        view.target(announcement.id())
            .filter(known -> known.announcement().incarnation() == announcement.incarnation())
            .isPresent();
    boolean isTaken =
        announcement
            .order()
            .map(OrderProgress::sequence)
            .filter(sequence -> sequence >= order.sequence())
            .isPresent();
    boolean isFresh = now.isBefore(fleet.freshAt().plus(MAX_VIEW_AGE));
    return isSameStart && !isTaken && isFresh;
  }

  private WeightOrder send(String target, OrderRecord order) {
    log.info(
        Event.of("order-sent")
            .with("target", target)
            .with("term", order.term())
            .with("sequence", order.sequence())
            .with("modelVersion", order.modelVersion())
            .with("load", order.load()));
    return WeightOrder.of(
        order.term(),
        order.sequence(),
        order.modelVersion(),
        order.adapters(),
        order.load(),
        order.replaces());
  }
}

package org.geraniumwharf.internal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.targets.Announcement;
import org.junit.jupiter.api.Test;

/**
 * Guards against an order that a leader sends long after a quorum last confirmed it, since its
 * engine was slow to report or to accept the connection.
 */
class OrderOfALeaderWithoutQuorumTest {

  private static final Instant START = Instant.ofEpochSecond(1_000_000);

  /** A swap goes on for 20 s if no order is sent and the leader is confirmed. */
  private static final Duration LONGER_THAN_A_SWAP = Duration.ofSeconds(25);

  private final List<Duration> sentAt = new ArrayList<>();
  private Instant now = START;

  @Test
  void should_send_no_order_if_the_confirmation_got_too_old_during_the_report() {
    rolloutWith(new SlowEngine(Duration.ofMillis(750), Duration.ZERO)).runRound(now);

    assertEquals(List.of(), sentAt);
  }

  @Test
  void should_send_no_order_if_the_confirmation_got_too_old_during_the_connecting() {
    rolloutWith(new SlowEngine(Duration.ofMillis(10), Duration.ofMillis(750))).runRound(now);

    assertEquals(List.of(), sentAt);
  }

  @Test
  void should_send_the_order_if_the_leader_was_confirmed_lately() {
    rolloutWith(new SlowEngine(Duration.ofMillis(10), Duration.ofMillis(100))).runRound(now);

    assertEquals(List.of(Duration.ofMillis(110)), sentAt);
  }

  private WeightsRollout rolloutWith(EngineOrders orders) {
    return new WeightsRollout(
        "control-1",
        new LeadingInstance(new Leadership(1, START, Duration.ZERO, true), Optional.of(START)),
        FleetFixtures.holderOfWeights(
            List.of(EngineRecords.of("engine-1", "model", 1)),
            List.of(NamedWeights.of("model", 2, START.toEpochMilli())),
            START),
        orders,
        announcement -> {},
        Runnable::run,
        EventLog.none(),
        () -> now);
  }

  /** Reports and accepts connections after some time; nothing confirms the leader meanwhile. */
  private final class SlowEngine implements EngineOrders {

    private final Duration reportTime;
    private final Duration connectTime;

    SlowEngine(Duration reportTime, Duration connectTime) {
      this.reportTime = reportTime;
      this.connectTime = connectTime;
    }

    @Override
    public OrderProtocol.EngineReport report(Announcement engine) {
      now = now.plus(reportTime);
      return new OrderProtocol.EngineReport(1, false, Map.of("model", 1L));
    }

    @Override
    public int order(
        Announcement engine, OrderProtocol.WeightsOrder order, BooleanSupplier isAllowed) {
      now = now.plus(connectTime);
      if (isAllowed.getAsBoolean()) {
        sentAt.add(Duration.between(START, now));
      }
      now = now.plus(LONGER_THAN_A_SWAP);
      return 202;
    }
  }
}

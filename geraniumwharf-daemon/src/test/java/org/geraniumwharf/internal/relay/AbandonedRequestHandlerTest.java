package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.Test;

class AbandonedRequestHandlerTest {

  private Instant now = Instant.ofEpochSecond(1000);
  private final EventLoopLag lag = EventLoopLag.unscheduled(() -> now);
  private final AbandonedRequestHandler handler =
      new AbandonedRequestHandler(lag, DaemonMetrics.create(), EventLog.none());
  private final EmbeddedChannel channel = new EmbeddedChannel(handler);

  @Test
  void should_forward_requests_immediately_while_the_loop_does_not_lag() {
    channel.writeInbound("request");

    assertEquals("request", channel.readInbound());
  }

  @Test
  void should_drop_a_request_whose_caller_disconnected_while_the_loop_lagged() {
    ByteBuf request = Unpooled.copyInt(7);
    makeLoopLag();

    channel.writeInbound(request);
    var unused = channel.close();
    runNextPass();

    assertNull(channel.readInbound());
    assertEquals(0, request.refCnt());
  }

  @Test
  void should_forward_requests_in_order_after_one_pass_of_a_loop_that_lags() {
    makeLoopLag();

    channel.writeInbound("first");
    lag.recordRun(now);
    lag.recordRun(now);
    channel.writeInbound("second");
    Object early = channel.readInbound();
    runNextPass();

    assertNull(early);
    assertEquals("first", channel.readInbound());
    assertEquals("second", channel.readInbound());
  }

  @Test
  void should_report_a_pending_request_so_that_the_connection_is_not_idle() {
    makeLoopLag();
    channel.writeInbound("request");

    boolean hadPendingRequests = handler.hasPendingRequests();
    runNextPass();

    assertTrue(hadPendingRequests);
    assertFalse(handler.hasPendingRequests());
  }

  private void makeLoopLag() {
    now = now.plusMillis(650);
  }

  private void runNextPass() {
    channel.advanceTimeBy(2, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}

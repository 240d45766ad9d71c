package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AbandonedRequestHandlerTest {

  private final EventLoopLag lag = EventLoopLag.unscheduled(() -> Instant.ofEpochSecond(1000));
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final RequestStarter starter =
      new RequestStarter(channel.eventLoop(), () -> Instant.ofEpochSecond(1000));
  private final AbandonedRequestHandler handler =
      new AbandonedRequestHandler(starter, lag, DaemonMetrics.create(), EventLog.none());

  @BeforeEach
  void addHandler() {
    channel.pipeline().addLast(handler);
  }

  @Test
  void should_forward_requests_in_order_once_the_connection_is_read() {
    read("first");
    read("second");
    Object early = channel.readInbound();
    channel.runPendingTasks();

    assertNull(early);
    assertEquals("first", channel.readInbound());
    assertEquals("second", channel.readInbound());
  }

  @Test
  void should_drop_a_request_whose_caller_disconnected_before_it_was_started() {
    ByteBuf request = Unpooled.copyInt(7);

    read(request);
    channel.unsafe().close(channel.voidPromise());
    channel.runPendingTasks();

    assertNull(channel.readInbound());
    assertEquals(0, request.refCnt());
  }

  @Test
  void should_report_a_pending_request_so_that_the_connection_is_not_idle() {
    read("request");

    boolean hadPendingRequests = handler.hasPendingRequests();
    channel.runPendingTasks();

    assertTrue(hadPendingRequests);
    assertFalse(handler.hasPendingRequests());
  }

  /** Reads a message without running the tasks that follow in the same pass. */
  private void read(Object message) {
    channel.pipeline().fireChannelRead(message);
  }
}

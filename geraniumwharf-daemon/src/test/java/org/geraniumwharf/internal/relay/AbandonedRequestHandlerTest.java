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
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.Test;

class AbandonedRequestHandlerTest {

  private Instant now = Instant.ofEpochSecond(1000);
  private final EventLoopLag delay = EventLoopLag.unscheduled(() -> now);
  private final AbandonedRequestHandler handler =
      new AbandonedRequestHandler(delay, EventLog.none());
  private final EmbeddedChannel channel = new EmbeddedChannel(handler);

  @Test
  void should_pass_requests_on_at_once_while_the_loop_keeps_up() {
    channel.writeInbound("request");

    assertEquals("request", channel.readInbound());
  }

  @Test
  void should_drop_a_request_whose_caller_left_while_the_loop_was_behind() {
    ByteBuf request = Unpooled.copyInt(7);
    fallBehind();

    channel.writeInbound(request);
    var unused = channel.close();
    pass();

    assertNull(channel.readInbound());
    assertEquals(0, request.refCnt());
  }

  @Test
  void should_pass_requests_on_in_order_after_one_pass_of_a_loop_that_is_behind() {
    fallBehind();

    channel.writeInbound("first");
    delay.recordRun(now);
    delay.recordRun(now);
    channel.writeInbound("second");
    Object early = channel.readInbound();
    pass();

    assertNull(early);
    assertEquals("first", channel.readInbound());
    assertEquals("second", channel.readInbound());
  }

  @Test
  void should_tell_of_a_request_that_it_holds_so_that_the_connection_is_not_idle() {
    fallBehind();
    channel.writeInbound("request");

    boolean isHolding = handler.hasPendingRequests();
    pass();

    assertTrue(isHolding);
    assertFalse(handler.hasPendingRequests());
  }

  private void fallBehind() {
    now = now.plusMillis(650);
  }

  private void pass() {
    channel.advanceTimeBy(2, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}

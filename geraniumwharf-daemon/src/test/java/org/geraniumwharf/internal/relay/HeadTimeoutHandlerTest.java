package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.Test;

class HeadTimeoutHandlerTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private final HeadTimeoutHandler handler = new HeadTimeoutHandler(TIMEOUT, EventLog.none());
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          handler,
          new HttpServerCodec(),
          handler.decodedMessageHandler(),
          new HttpObjectAggregator(1 << 10));

  @Test
  void should_close_the_connection_if_the_request_head_is_incomplete_at_the_timeout() {
    receive("POST /quotes HTTP/1.1\r\nHost: quotes");
    advanceTime(TIMEOUT.minusMillis(10));
    boolean isOpenBefore = channel.isOpen();
    advanceTime(Duration.ofMillis(20));

    assertTrue(isOpenBefore);
    assertFalse(channel.isOpen());
  }

  @Test
  void should_measure_the_timeout_from_the_first_byte_even_if_more_bytes_arrive() {
    receive("POST /quotes HTTP/1.1\r\n");
    advanceTime(TIMEOUT.dividedBy(2));
    receive("Host: quotes\r\n");
    advanceTime(TIMEOUT.dividedBy(2).plusMillis(20));

    assertFalse(channel.isOpen());
  }

  @Test
  void should_not_apply_the_timeout_to_the_body_or_between_requests() {
    receive("POST /quotes HTTP/1.1\r\nHost: quotes\r\nContent-Length: 4\r\n\r\nab");
    advanceTime(TIMEOUT.multipliedBy(2));
    receive("cd");
    advanceTime(TIMEOUT.multipliedBy(2));

    assertTrue(channel.isOpen());
  }

  @Test
  void should_apply_the_timeout_to_each_head_of_a_keep_alive_connection() {
    receive("GET /quotes HTTP/1.1\r\nHost: quotes\r\n\r\n");
    receive("GET /quotes HTTP/1.1\r\n");
    advanceTime(TIMEOUT.plusMillis(20));

    assertFalse(channel.isOpen());
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void advanceTime(Duration time) {
    channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Drops requests whose caller closed the connection while they waited unread. An event loop that
 * lags reads such a request before it reads the close. This handler therefore delays requests by
 * one pass of the loop, in which the close is read as well. Confined to its event loop.
 */
final class AbandonedRequestHandler extends ChannelInboundHandlerAdapter {

  /** Event loop lag from which callers may have disconnected in the meantime. */
  private static final Duration LAG_THRESHOLD = Duration.ofMillis(100);

  private static final long NEXT_PASS_DELAY_MILLIS = 1;

  private final EventLoopLag loopLag;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final Deque<Object> pending = new ArrayDeque<>();

  AbandonedRequestHandler(EventLoopLag loopLag, DaemonMetrics metrics, EventLog log) {
    this.loopLag = loopLag;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns the current lag of the event loop. */
  Duration loopLag() {
    return loopLag.current();
  }

  /** Returns whether a request was read and not yet forwarded. */
  boolean hasPendingRequests() {
    return !pending.isEmpty();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (pending.isEmpty() && loopLag().compareTo(LAG_THRESHOLD) < 0) {
      context.fireChannelRead(message);
      return;
    }
    pending.add(message);
    if (pending.size() == 1) {
      var unused =
          context
              .executor()
              .schedule(
                  () -> forwardPending(context), NEXT_PASS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void forwardPending(ChannelHandlerContext context) {
    while (!pending.isEmpty()) {
      context.fireChannelRead(pending.poll());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (!pending.isEmpty()) {
      metrics.requestsAbandoned(pending.size());
      log.info(
          Event.of("relay-abandoned")
              .with("requests", pending.size())
              .with("behindMillis", loopLag().toMillis()));
      pending.forEach(ReferenceCountUtil::release);
      pending.clear();
    }
    context.fireChannelInactive();
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Holds requests back for one pass of an event loop that is behind. A caller that left while its
 * request waited unread has closed its connection, but the loop reads the request before the close;
 * with the pass in between it sees both and drops the request. Confined to its event loop.
 */
final class AbandonedRequestHandler extends ChannelInboundHandlerAdapter {

  /** Delay of the loop from which callers may have left meanwhile. */
  private static final Duration LAG_THRESHOLD = Duration.ofMillis(100);

  private static final long NEXT_PASS_DELAY_MILLIS = 1;

  private final EventLoopLag loopLag;
  private final EventLog log;
  private final Deque<Object> pending = new ArrayDeque<>();

  AbandonedRequestHandler(EventLoopLag delay, EventLog log) {
    this.loopLag = delay;
    this.log = log;
  }

  /** Returns how far the loop is behind. */
  Duration loopLag() {
    return loopLag.current();
  }

  /** Tells whether a request was read and not passed on yet. */
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

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
final class LateRequestHandler extends ChannelInboundHandlerAdapter {

  /** Delay of the loop from which callers may have left meanwhile. */
  private static final Duration BEHIND = Duration.ofMillis(100);

  private static final long ONE_PASS_MILLIS = 1;

  private final LoopDelay delay;
  private final EventLog log;
  private final Deque<Object> held = new ArrayDeque<>();

  LateRequestHandler(LoopDelay delay, EventLog log) {
    this.delay = delay;
    this.log = log;
  }

  /** Returns how far the loop is behind. */
  Duration behind() {
    return delay.current();
  }

  /** Tells whether a request was read and not passed on yet. */
  boolean isHolding() {
    return !held.isEmpty();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (held.isEmpty() && behind().compareTo(BEHIND) < 0) {
      context.fireChannelRead(message);
      return;
    }
    held.add(message);
    if (held.size() == 1) {
      var unused =
          context
              .executor()
              .schedule(() -> passOn(context), ONE_PASS_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void passOn(ChannelHandlerContext context) {
    while (!held.isEmpty()) {
      context.fireChannelRead(held.poll());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (!held.isEmpty()) {
      log.info(
          Event.of("relay-abandoned")
              .with("requests", held.size())
              .with("behindMillis", behind().toMillis()));
      held.forEach(ReferenceCountUtil::release);
      held.clear();
    }
    context.fireChannelInactive();
  }
}

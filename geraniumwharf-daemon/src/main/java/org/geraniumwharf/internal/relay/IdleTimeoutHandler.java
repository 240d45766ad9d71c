package org.geraniumwharf.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Fires an event whenever nothing was received and no response ended for some time. Unlike the
 * handler of the library it has no part in the writes of a response, which carry an event each.
 * Confined to the event loop of its connection.
 */
final class IdleTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final long timeoutNanos;
  private long lastActiveNanos;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();

  IdleTimeoutHandler(Duration timeout) {
    timeoutNanos = timeout.toNanos();
  }

  /** Records that a response was written. */
  void responseWritten() {
    lastActiveNanos = System.nanoTime();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lastActiveNanos = System.nanoTime();
    schedule(context, timeoutNanos);
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastActiveNanos = System.nanoTime();
    context.fireChannelRead(message);
  }

  private void schedule(ChannelHandlerContext context, long nanos) {
    timer =
        Optional.of(context.executor().schedule(() -> check(context), nanos, TimeUnit.NANOSECONDS));
  }

  private void check(ChannelHandlerContext context) {
    long leftNanos = lastActiveNanos + timeoutNanos - System.nanoTime();
    if (leftNanos > 0) {
      schedule(context, leftNanos);
    } else {
      schedule(context, timeoutNanos);
      context.fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    timer.ifPresent(future -> future.cancel(false));
    timer = Optional.empty();
    context.fireChannelInactive();
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Drops requests whose caller closed the connection before they were started. Each connection is
 * read until nothing is left, so that a close that arrived behind a request is read with it, and
 * the request is forwarded only then. Confined to its event loop.
 */
final class AbandonedRequestHandler extends ChannelInboundHandlerAdapter {

  private static final int MAX_READS_PER_PASS = 16;

  /** By default a read stops at the request if the buffer was not filled, before the close. */
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_PER_PASS);

  private final RequestStarter starter;
  private final EventLoopLag loopLag;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final Deque<Object> pending = new ArrayDeque<>();
  private Runnable forwarding;

  AbandonedRequestHandler(
      RequestStarter starter, EventLoopLag loopLag, DaemonMetrics metrics, EventLog log) {
    this.starter = starter;
    this.loopLag = loopLag;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns whether a request was read and not yet forwarded. */
  boolean hasPendingRequests() {
    return !pending.isEmpty();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    forwarding = () -> forwardPending(context);
    context.channel().config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    pending.add(message);
    if (pending.size() == 1) {
      starter.add(forwarding);
    }
  }

  /** Forwards the requests, unless the close was read; then {@link #channelInactive} follows. */
  private void forwardPending(ChannelHandlerContext context) {
    while (!pending.isEmpty() && context.channel().isActive()) {
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
              .with("lagMillis", loopLag.current().toMillis()));
      pending.forEach(ReferenceCountUtil::release);
      pending.clear();
    }
    context.fireChannelInactive();
  }
}

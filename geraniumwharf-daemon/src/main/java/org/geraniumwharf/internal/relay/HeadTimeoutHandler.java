package org.geraniumwharf.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Closes a connection whose caller takes too long to send a request head. This handler precedes the
 * HTTP codec and receives bytes; {@link #decodedMessageHandler} follows the codec and receives the
 * decoded messages. A head that arrives in one read starts no timer. Confined to the event loop of
 * its connection.
 */
final class HeadTimeoutHandler extends ChannelInboundHandlerAdapter {

  private final Duration timeout;
  private final EventLog log;
  private boolean isReadingHead;
  private boolean isReadingBody;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();

  HeadTimeoutHandler(Duration timeout, EventLog log) {
    this.timeout = timeout;
    this.log = log;
  }

  /** Returns the handler to be placed after the HTTP codec. */
  ChannelInboundHandler decodedMessageHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
          headCompleted();
        }
        if (message instanceof LastHttpContent) {
          isReadingBody = false;
        }
        context.fireChannelRead(message);
      }
    };
  }

  private void headCompleted() {
    isReadingHead = false;
    isReadingBody = true;
    cancelTimer();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    isReadingHead = !isReadingBody;
    context.fireChannelRead(bytes);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (isReadingHead && timer.isEmpty()) {
      timer =
          Optional.of(
              context
                  .executor()
                  .schedule(
                      () -> closeAfterTimeout(context), timeout.toMillis(), TimeUnit.MILLISECONDS));
    }
    context.fireChannelReadComplete();
  }

  private void closeAfterTimeout(ChannelHandlerContext context) {
    log.info(Event.of("caller-head-late").with("timeoutMillis", timeout.toMillis()));
    var unused = context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimer();
    context.fireChannelInactive();
  }

  private void cancelTimer() {
    timer.ifPresent(future -> future.cancel(false));
    timer = Optional.empty();
  }
}

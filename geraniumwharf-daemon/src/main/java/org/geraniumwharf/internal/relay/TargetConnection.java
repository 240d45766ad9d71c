package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to a target that carries one request at a time. Confined to its event loop. An
 * answer to another request than the one under way is dropped, and the connection is not used
 * again.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Reuse ends so long before the target closes an idle connection. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(600);

  /** How long a connection may be idle whose target does not say when it closes it. */
  private static final Duration UNSTATED_IDLE = Duration.ofMillis(250);

  private final Channel channel;
  private final RelayProtocol protocol;
  private final InstantSource clock;
  private Optional<Listener> listener = Optional.empty();
  private String requestId = "";
  private ChannelFuture written;
  private Duration idleBound = UNSTATED_IDLE;
  private Instant idleUntil = Instant.MIN;
  private boolean isReusable = true;
  private boolean isSkipping;
  private boolean isHeadRead;
  private boolean isReset;

  /** Learns what becomes of the request under way; no call follows the last of an answer. */
  interface Listener {

    void head(HttpResponse head, TargetReply reply);

    void content(ByteBuf bytes);

    /** The answer is whole. */
    void ended();

    /** The connection ended before the answer did, or what came is no answer. */
    void broken(String cause);
  }

  TargetConnection(Channel channel, RelayProtocol protocol, InstantSource clock) {
    this.channel = channel;
    this.protocol = protocol;
    this.clock = clock;
  }

  /** Sends a request; the connection owns it from now on. */
  void send(FullHttpRequest request, String id, Listener newListener) {
    listener = Optional.of(newListener);
    requestId = id;
    isHeadRead = false;
    isSkipping = false;
    written = channel.writeAndFlush(request);
  }

  /** Tells whether another request may be sent now. */
  boolean isUsable(Instant now) {
    return channel.isActive() && isReusable && listener.isEmpty() && now.isBefore(idleUntil);
  }

  /** Tells whether the connection may be kept for another request. */
  boolean isKept() {
    return channel.isActive() && isReusable && listener.isEmpty();
  }

  /** Gives the request up. */
  void cancel() {
    listener = Optional.empty();
    close();
  }

  void close() {
    isReusable = false;
    var unused = channel.close();
  }

  void setReading(boolean isReading) {
    var unused = channel.config().setAutoRead(isReading);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpObject object) {
        read(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      fail("the target sent bytes that are no answer");
      return;
    }
    if (object instanceof HttpResponse head) {
      readHead(head);
    }
    if (object instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      isSkipping = true;
      return;
    }
    if (listener.isEmpty()) {
      fail("the target answered without a request");
      return;
    }
    TargetReply reply = protocol.reply(head);
    isSkipping = reply.requestId().filter(id -> !id.equals(requestId)).isPresent();
    if (isSkipping) {
      isReusable = false;
      return;
    }
    isHeadRead = true;
    if (!HttpUtil.isKeepAlive(head) || !hasLength(head)) {
      isReusable = false;
    }
    idleBound = idleBound(head);
    listener.get().head(head, reply);
  }

  private static boolean hasLength(HttpResponse head) {
    return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
  }

  private static Duration idleBound(HttpResponse head) {
    String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value == null ? "" : value);
    if (!matcher.find()) {
      return UNSTATED_IDLE;
    }
    Duration stated = Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(IDLE_MARGIN);
    return stated.compareTo(UNSTATED_IDLE) < 0 ? UNSTATED_IDLE : stated;
  }

  private void readContent(HttpContent content) {
    if (isSkipping || !isHeadRead || isReset) {
      return;
    }
    if (content.content().isReadable()) {
      listener.ifPresent(open -> open.content(content.content()));
    }
    if (content instanceof LastHttpContent) {
      end();
    }
  }

  private void end() {
    Optional<Listener> ended = listener;
    listener = Optional.empty();
    isHeadRead = false;
    if (!written.isDone()) {
      isReusable = false;
    }
    idleUntil = clock.instant().plus(idleBound);
    ended.ifPresent(Listener::ended);
    if (!isReusable) {
      close();
    }
  }

  private void fail(String cause) {
    Optional<Listener> broken = listener;
    listener = Optional.empty();
    close();
    broken.ifPresent(open -> open.broken(cause));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    isReset = true;
    fail("the connection to the target failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("the target closed the connection");
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.http.ErrorBodies;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.RelayRequest;

/** A connection of a caller: one request after the other. Confined to its event loop. */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int MAX_PIPELINED = 8;

  private final RelayFront front;
  private final TargetConnections targets;
  private final LateRequestHandler reader;
  private final BooleanSupplier isLeaving;
  private final int headerBytes;
  private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
  private Optional<RelayExchange> current = Optional.empty();
  private ChannelHandlerContext context;
  private boolean isKeptAlive;

  CallerConnection(
      RelayFront front,
      TargetConnections targets,
      LateRequestHandler reader,
      BooleanSupplier isLeaving,
      int headerBytes) {
    this.front = front;
    this.targets = targets;
    this.reader = reader;
    this.isLeaving = isLeaving;
    this.headerBytes = headerBytes;
  }

  TargetConnections targets() {
    return targets;
  }

  /** Closes the connection if no request is under way on it; called by any thread. */
  void closeIfIdleSoon() {
    context.executor().execute(this::closeIfIdle);
  }

  private void closeIfIdle() {
    if (current.isEmpty() && !reader.isHolding()) {
      var unusedClose = context.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ignored, FullHttpRequest request) {
    if (current.isEmpty()) {
      begin(request.retain());
    } else if (pipelined.size() < MAX_PIPELINED) {
      pipelined.add(request.retain());
    } else {
      var unusedClose = context.close();
    }
  }

  private void begin(FullHttpRequest request) {
    isKeptAlive = HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      refuseUnreadable(request);
      return;
    }
    try {
      Instant arrivedAt = front.now().minus(reader.behind());
      RelayRequest read = front.protocol().read(request, arrivedAt);
      RelayExchange exchange =
          new RelayExchange(front, this, context.channel().eventLoop(), request, read);
      current = Optional.of(exchange);
      exchange.begin();
    } catch (ServingException e) {
      front.log().info(Event.of("relay-malformed").with("cause", e.getMessage()));
      request.release();
      isKeptAlive = false;
      answerUnread(e);
    }
  }

  private void refuseUnreadable(FullHttpRequest request) {
    Throwable cause = request.decoderResult().cause();
    front.log().info(Event.of("relay-malformed").with("cause", cause.getMessage()));
    request.release();
    isKeptAlive = false;
    answerUnread(
        cause instanceof TooLongHttpHeaderException
            ? ServingErrors.headerTooLarge(headerBytes)
            : ServingErrors.malformed("", "the request is no HTTP/1.1"));
  }

  private void answerUnread(ServingException error) {
    writeWhole(
        HttpResponseStatus.valueOf(error.kind().httpStatus()),
        EmptyHttpHeaders.INSTANCE,
        body(error, ""));
  }

  // ------------------------------------------------------------------ answers

  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    writeWhole(status, headers, body);
  }

  void answerError(RelayRequest request, ServingException error) {
    HttpHeaders headers = front.protocol().ownAnswer(request, error);
    writeWhole(
        HttpResponseStatus.valueOf(error.kind().httpStatus()), headers, body(error, request.id()));
  }

  private static ByteBuf body(ServingException error, String requestId) {
    return Unpooled.wrappedBuffer(ErrorBodies.encode(requestId, error));
  }

  private void writeWhole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().add(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    setConnection(response);
    writeLast(response);
  }

  /** Begins a streamed answer. */
  void beginAnswer(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().add(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnection(response);
    var unused = context.write(response);
  }

  void write(ByteBuf bytes) {
    var unused = context.writeAndFlush(new DefaultHttpContent(bytes));
  }

  void endAnswer() {
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection within an answer. */
  void cut() {
    current = Optional.empty();
    var unusedClose = context.close();
  }

  private void setConnection(HttpResponse response) {
    if (isLeaving.getAsBoolean()) {
      isKeptAlive = false;
    }
    if (!isKeptAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void writeLast(Object message) {
    current = Optional.empty();
    var written = context.writeAndFlush(message);
    if (!isKeptAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    } else if (!pipelined.isEmpty()) {
      begin(pipelined.poll());
    }
  }

  // ------------------------------------------------------------------- events

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    current.ifPresent(RelayExchange::callerGone);
    current = Optional.empty();
    pipelined.forEach(FullHttpRequest::release);
    pipelined.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    current.ifPresent(exchange -> exchange.writable(changed.channel().isWritable()));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
    if (event instanceof IdleStateEvent) {
      closeIfIdle();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    front.log().info(Event.of("caller-connection-failed").with("cause", cause.getMessage()));
    var unusedClose = failed.close();
  }
}

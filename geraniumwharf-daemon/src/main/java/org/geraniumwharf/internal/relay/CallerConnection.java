package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.http.ErrorBodies;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.RelayRequest;

/**
 * A connection of a caller. Requests are handled one at a time; pipelined requests wait for the
 * response to the one before. Confined to its event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int MAX_PIPELINED_REQUESTS = 8;

  /** Up to eight digits of the size, and a line end behind the size and behind the event. */
  private static final int CHUNK_FRAME_BYTES = 12;

  private final RelayState relay;
  private final TargetConnectionPool targetPool;
  private final HeldRequests heldRequests;
  private final AbandonedRequestHandler abandonedRequests;
  private final EventLoopLag loopLag;
  private final Supplier<Optional<Instant>> drainingSince;
  private final int maxHeaderBytes;
  private final ChannelFutureListener responseWritten;
  private final Runnable deferredFlush = this::flushDeferred;
  private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
  private Optional<RelayExchange> currentExchange = Optional.empty();
  private ChannelHandlerContext context;

  /** Writes by it do not pass the HTTP codec. */
  private ChannelHandlerContext codecContext;

  private Instant openedAt = Instant.MIN;
  private boolean isKeepAlive;
  private boolean isHeadRequest;

  /** Whether this connection frames the events of the response, instead of the HTTP codec. */
  private boolean isFramingEvents;

  /** Framed events that are written at the end of the present read. */
  private Optional<ByteBuf> framedEvents = Optional.empty();

  private boolean isFlushDeferred;

  /**
   * A request that arrives while the last answer is sent gets no answer, so no target may run it.
   */
  private boolean isClosing;

  /** The end of the newest answer. */
  private volatile Optional<ChannelFuture> lastWrite = Optional.empty();

  CallerConnection(
      RelayState relay,
      TargetConnectionPool targetPool,
      HeldRequests heldRequests,
      AbandonedRequestHandler abandonedRequests,
      IdleTimeoutHandler idleTimeout,
      EventLoopLag loopLag,
      Supplier<Optional<Instant>> drainingSince,
      int maxHeaderBytes) {
    this.relay = relay;
    this.targetPool = targetPool;
    this.heldRequests = heldRequests;
    this.abandonedRequests = abandonedRequests;
    this.responseWritten = ended -> idleTimeout.responseWritten();
    this.loopLag = loopLag;
    this.drainingSince = drainingSince;
    this.maxHeaderBytes = maxHeaderBytes;
  }

  TargetConnectionPool targetPool() {
    return targetPool;
  }

  HeldRequests heldRequests() {
    return heldRequests;
  }

  /** Returns false from the moment at which the close of the caller was read. */
  boolean isConnected() {
    return context.channel().isActive();
  }

  Duration connectionAge(Instant now) {
    return Duration.between(openedAt, now);
  }

  /** Returns how long the instance has been draining; empty if it is not. */
  Optional<Duration> drainingFor(Instant now) {
    return drainingSince.get().map(since -> Duration.between(since, now));
  }

  private boolean isDraining() {
    return drainingSince.get().isPresent();
  }

  /** Gives up the request in flight because the process stops. May be called by any thread. */
  void scheduleCut() {
    context.executor().execute(() -> currentExchange.ifPresent(RelayExchange::instanceStopped));
  }

  /** Returns whether the caller has not yet taken an answer that ended. Safe for any thread. */
  boolean hasUnsentAnswer() {
    return lastWrite.filter(written -> !written.isDone()).isPresent();
  }

  /**
   * Closes the connection if it has no request in flight and no answer to send. May be called by
   * any thread.
   */
  void scheduleCloseIfIdle() {
    context
        .executor()
        .execute(
            () -> {
              if (!hasUnsentAnswer()) {
                closeIfIdle();
              }
            });
  }

  private void closeIfIdle() {
    if (currentExchange.isEmpty() && !abandonedRequests.hasPendingRequests()) {
      var unusedClose = context.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    codecContext = added.pipeline().context(HttpServerCodec.class);
    openedAt = relay.now();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ignored, FullHttpRequest request) {
    if (isClosing) {
      relay.log().info(Event.of("relay-ignored").with("cause", "the connection is being closed"));
    } else if (currentExchange.isEmpty()) {
      startExchange(request.retain());
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(request.retain());
    } else {
      var unusedClose = context.close();
    }
  }

  private void startExchange(FullHttpRequest request) {
    isKeepAlive = HttpUtil.isKeepAlive(request);
    isHeadRequest = request.method().equals(HttpMethod.HEAD);
    if (request.decoderResult().isFailure()) {
      rejectUndecodable(request);
      return;
    }
    try {
      Instant arrivedAt = relay.now().minus(loopLag.current());
      RelayRequest parsedRequest = relay.protocol().readRequest(request, arrivedAt);
      RelayExchange exchange =
          new RelayExchange(relay, this, context.channel().eventLoop(), request, parsedRequest);
      currentExchange = Optional.of(exchange);
      exchange.start();
    } catch (ServingException e) {
      relay.log().info(Event.of("relay-malformed").with("cause", e.getMessage()));
      request.release();
      isKeepAlive = false;
      writeErrorWithoutRequest(e);
    }
  }

  private void rejectUndecodable(FullHttpRequest request) {
    Throwable cause = request.decoderResult().cause();
    relay.log().info(Event.of("relay-malformed").with("cause", cause.getMessage()));
    request.release();
    isKeepAlive = false;
    writeErrorWithoutRequest(
        cause instanceof TooLongHttpHeaderException
            ? ServingErrors.headerTooLarge(maxHeaderBytes)
            : ServingErrors.invalidField("", "the request is no HTTP/1.1"));
  }

  private void writeErrorWithoutRequest(ServingException error) {
    writeFullResponse(
        HttpResponseStatus.valueOf(error.kind().httpStatus()),
        new DefaultHttpHeaders(),
        encodeError(error, ""));
  }

  // ---------------------------------------------------------------- responses

  /** Writes a whole response and takes ownership of its headers and body. */
  void writeResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    writeFullResponse(status, headers, body);
  }

  void writeError(RelayRequest request, ServingException error) {
    HttpHeaders headers = relay.protocol().errorHeaders(request, error);
    writeFullResponse(
        HttpResponseStatus.valueOf(error.kind().httpStatus()),
        headers,
        encodeError(error, request.id()));
  }

  private static ByteBuf encodeError(ServingException error, String requestId) {
    return Unpooled.wrappedBuffer(ErrorBodies.encode(requestId, error));
  }

  private void writeFullResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    setConnectionHeader(response);
    writeLastAndContinue(response);
  }

  /** Writes the head of a streamed response and takes ownership of its headers. */
  void startResponse(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response);
    // The codec knows which other responses have no body.
    isFramingEvents = status.equals(HttpResponseStatus.OK) && !isHeadRequest;
    var unused = context.write(response);
  }

  /**
   * Writes an event of a streamed response, which is sent at the end of the present read of the
   * target. Only to be called during such a read.
   */
  void write(ByteBuf event) {
    if (isFramingEvents) {
      frame(event);
    } else {
      var unused = context.write(new DefaultHttpContent(event));
    }
    if (!isFlushDeferred) {
      isFlushDeferred = true;
      targetPool.flushes().add(deferredFlush);
    }
  }

  /**
   * Appends an event as a chunk to those of the same read. The HTTP codec would write three buffers
   * for it and copy one of them.
   */
  private void frame(ByteBuf event) {
    int size = event.readableBytes() + CHUNK_FRAME_BYTES;
    if (framedEvents.isEmpty()) {
      framedEvents = Optional.of(context.alloc().directBuffer(size));
    }
    ByteBuf framed = framedEvents.get();
    framed.ensureWritable(size);
    framed.writeCharSequence(Integer.toHexString(event.readableBytes()), StandardCharsets.US_ASCII);
    ByteBufUtil.writeShortBE(framed, HttpConstants.CR << 8 | HttpConstants.LF);
    framed.writeBytes(event);
    ByteBufUtil.writeShortBE(framed, HttpConstants.CR << 8 | HttpConstants.LF);
    event.release();
  }

  private void flushDeferred() {
    isFlushDeferred = false;
    writeFramedEvents();
    codecContext.flush();
  }

  private void writeFramedEvents() {
    if (framedEvents.isPresent()) {
      var unused = codecContext.write(framedEvents.get());
      framedEvents = Optional.empty();
    }
  }

  void endResponse() {
    writeFramedEvents();
    writeLastAndContinue(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection in the middle of a response, so that the caller sees it as truncated. */
  void abort() {
    currentExchange = Optional.empty();
    flushDeferred();
    var unusedClose = context.close();
  }

  private void setConnectionHeader(HttpResponse response) {
    if (isDraining()) {
      isKeepAlive = false;
    }
    if (!isKeepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void writeLastAndContinue(Object message) {
    currentExchange = Optional.empty();
    ChannelFuture written = context.writeAndFlush(message);
    lastWrite = Optional.of(written);
    var unusedListener = written.addListener(responseWritten);
    if (!isKeepAlive) {
      closeAfter(written);
    } else if (!pipelinedRequests.isEmpty()) {
      startExchange(pipelinedRequests.poll());
    } else if (isDraining() && !abandonedRequests.hasPendingRequests()) {
      // The head of a stream that was started before the drain did not announce the close.
      closeAfter(written);
    }
  }

  private void closeAfter(ChannelFuture written) {
    isClosing = true;
    var unused = written.addListener(ChannelFutureListener.CLOSE);
  }

  // ------------------------------------------------------------------- events

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    currentExchange.ifPresent(RelayExchange::callerDisconnected);
    currentExchange = Optional.empty();
    framedEvents.ifPresent(ByteBuf::release);
    framedEvents = Optional.empty();
    pipelinedRequests.forEach(FullHttpRequest::release);
    pipelinedRequests.clear();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    currentExchange.ifPresent(
        exchange -> exchange.writabilityChanged(changed.channel().isWritable()));
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
    if (event instanceof IdleStateEvent) {
      closeIfIdle();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    relay.log().info(Event.of("caller-connection-failed").with("cause", cause.getMessage()));
    var unusedClose = failed.close();
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.geraniumwharf.relay.TargetNotice;

/**
 * A connection to a target that carries one request at a time. A response to another request than
 * the one in flight is discarded, and the connection is not reused. If the request in flight has an
 * id, a response without one fails it, since the response may belong to an earlier request. A
 * response with that id is taken for the answer, so the connection must carry each id only once.
 * Confined to its event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  /** Time before the idle timeout of the target from which a connection is no longer reused. */
  private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofMillis(600);

  /** Idle timeout for a target that sends no keep-alive timeout. */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMillis(250);

  /**
   * Bytes that a target may send in a row without a head or a body of the response in flight. A
   * response to another request, which is discarded, may be as large as one that is buffered.
   */
  private static final int MAX_USELESS_BYTES = 576 << 10;

  private static final int MAX_INTERIM_RESPONSES = 8;

  private static final int END_CHECK_INTERVAL_MILLIS = 10;

  private final TargetSocketChannel channel;
  private final TargetResponseDecoder decoder;
  private final RelayProtocol protocol;
  private final UnexpectedBytesListener unexpectedBytes;
  private final DeferredFlushes flushes;
  private final InstantSource clock;
  private final Instant openedAt;
  private final RequestIdHistory history = RequestIdHistory.create();
  private Optional<ResponseListener> listener = Optional.empty();
  private String requestId = "";
  private ChannelFuture requestWrite;
  private int requestBytes;
  private Optional<Instant> writtenAt = Optional.empty();
  private Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;
  private Instant idleExpiresAt = Instant.MIN;
  private boolean isReusable = true;
  private boolean isDiscarding;
  private boolean isHeadReceived;
  private boolean isBodyDelimited;
  private boolean isWrittenAtHead;
  private boolean isReset;
  private Optional<UnframedEnd> end = Optional.empty();
  private int uselessBytes;
  private int interimResponses;
  private int completedResponses;

  /**
   * Receives the response to the request in flight. No method is called after {@link #onComplete}
   * or {@link #onFailure}.
   */
  interface ResponseListener {

    /**
     * Called with the notice of each response, including one that answers an earlier request and is
     * discarded.
     */
    void onNotice(TargetNotice notice);

    void onHead(HttpResponse head, TargetResponse response);

    void onContent(ByteBuf bytes);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called if the connection closes before the response is complete, or the response is invalid.
     */
    void onFailure(String cause);
  }

  TargetConnection(
      TargetSocketChannel channel,
      TargetResponseDecoder decoder,
      RelayProtocol protocol,
      UnexpectedBytesListener unexpectedBytes,
      DeferredFlushes flushes,
      InstantSource clock) {
    this.channel = channel;
    this.decoder = decoder;
    this.protocol = protocol;
    this.unexpectedBytes = unexpectedBytes;
    this.flushes = flushes;
    this.clock = clock;
    this.openedAt = clock.instant();
  }

  /** Returns the number of responses that were received completely over the connection. */
  int completedResponses() {
    return completedResponses;
  }

  /** Returns the first bytes that have arrived behind the response. */
  byte[] bytesBehind() {
    return decoder.firstBufferedBytes();
  }

  Duration age(Instant now) {
    return Duration.between(openedAt, now);
  }

  /** Returns the port on this side, by which a target tells the connection from others. */
  int localPort() {
    return channel.localAddress().getPort();
  }

  /** Returns the handler to be placed before the HTTP codec, which bounds the bytes received. */
  ChannelInboundHandler receivedBytesHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (isAcceptable(((ByteBuf) bytes).readableBytes())) {
          context.fireChannelRead(bytes);
        } else {
          ReferenceCountUtil.release(bytes);
        }
      }
    };
  }

  private boolean isAcceptable(int receivedBytes) {
    uselessBytes += receivedBytes;
    if (listener.isEmpty()) {
      recordUnexpected(receivedBytes, UnexpectedBytesListener.Cause.IDLE);
      fail("the target sent bytes without a request");
      return false;
    }
    if (uselessBytes > MAX_USELESS_BYTES) {
      fail("the target sent " + uselessBytes + " bytes that are no answer");
      return false;
    }
    return true;
  }

  private void recordUnexpected(int count, UnexpectedBytesListener.Cause cause) {
    if (channel.isActive()) {
      unexpectedBytes.received(
          new UnexpectedBytesListener.UnexpectedBytes(
              channel.remoteAddress(), requestId, count, cause));
    }
  }

  /** Returns whether the connection may have carried a request with an id that is not empty. */
  boolean mayHaveCarried(String id) {
    return !id.isEmpty() && history.mayContain(id);
  }

  /** Returns whether the connection has carried as many requests as it remembers. */
  boolean isHistoryFull() {
    return history.isFull();
  }

  /**
   * Sends a request and takes ownership of it.
   *
   * @param id id of the request, which the response repeats; empty if it has none
   */
  void send(FullHttpRequest request, String id, ResponseListener newListener) {
    history.add(id);
    listener = Optional.of(newListener);
    requestId = id;
    isHeadReceived = false;
    isDiscarding = false;
    uselessBytes = 0;
    interimResponses = 0;
    decoder.requestSent(request.method());
    requestBytes = request.content().readableBytes();
    writtenAt = Optional.empty();
    requestWrite = channel.writeAndFlush(request);
    requestWrite.addListener(done -> requestWritten(done.isSuccess()));
  }

  /**
   * After a failed write the channel stays open for what the target has sent before: a response
   * that names its own end may be there.
   */
  private void requestWritten(boolean isSuccess) {
    if (isSuccess) {
      writtenAt = Optional.of(clock.instant());
    } else {
      isReusable = false;
    }
  }

  /**
   * Returns whether another request may be sent now. The connection must be closed if not, since
   * input that was waiting is lost.
   */
  boolean isUsable(Instant now) {
    return isPoolable() && now.isBefore(idleExpiresAt) && !hasUnexpectedInput();
  }

  private boolean hasUnexpectedInput() {
    int count = channel.readUnexpected();
    if (count > 0) {
      recordUnexpected(count, UnexpectedBytesListener.Cause.BEFORE_REQUEST);
    }
    return count != 0;
  }

  /** Returns whether neither side has closed the connection. */
  boolean isOpen() {
    return channel.isActive();
  }

  /** Returns whether the connection may be returned to the pool. */
  boolean isPoolable() {
    return channel.isActive() && isReusable && listener.isEmpty();
  }

  /** Cancels the request in flight without calling its listener, and closes the connection. */
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
        readObject(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    flushes.run();
  }

  private void readObject(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      Throwable cause = object.decoderResult().cause();
      fail(
          cause instanceof TargetResponseDecoder.InvalidStatusException
              ? cause.getMessage()
              : "the target sent bytes that are no answer");
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
    if (TargetResponseDecoder.isJoinedFromTwo(head)) {
      recordUnexpected(decoder.bufferedBytes(), UnexpectedBytesListener.Cause.JOINED_HEAD);
      fail("the head of the answer holds another one");
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      isDiscarding = true;
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        fail("the target sent " + interimResponses + " interim responses");
      }
      return;
    }
    if (listener.isEmpty()) {
      fail("the target answered without a request");
      return;
    }
    TargetResponse response = protocol.readResponse(head);
    listener.get().onNotice(response.notice());
    isDiscarding =
        response.requestId().isPresent() && !response.requestId().get().equals(requestId);
    if (isDiscarding) {
      recordUnexpected(decoder.bufferedBytes(), UnexpectedBytesListener.Cause.OTHER_RESPONSE);
      isReusable = false;
      return;
    }
    if (response.requestId().isEmpty() && !requestId.isEmpty()) {
      fail("the target sent a response without a request id");
      return;
    }
    isHeadReceived = true;
    uselessBytes = 0;
    isBodyDelimited = decoder.isBodyDelimited(head);
    isWrittenAtHead = writtenAt.isPresent();
    if (!HttpUtil.isKeepAlive(head) || !TargetResponseDecoder.isLengthStated(head)) {
      isReusable = false;
    }
    idleTimeout = idleTimeout(head);
    listener.get().onHead(head, response);
  }

  private static Duration idleTimeout(HttpResponse head) {
    String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value == null ? "" : value);
    if (!matcher.find()) {
      return DEFAULT_IDLE_TIMEOUT;
    }
    Duration advertised =
        Duration.ofSeconds(Long.parseLong(matcher.group(1))).minus(IDLE_TIMEOUT_MARGIN);
    return advertised.compareTo(DEFAULT_IDLE_TIMEOUT) < 0 ? DEFAULT_IDLE_TIMEOUT : advertised;
  }

  private void readContent(HttpContent content) {
    if (isDiscarding || !isHeadReceived || isReset) {
      return;
    }
    if (content.content().isReadable()) {
      uselessBytes = 0;
      if (listener.isPresent()) {
        listener.get().onContent(content.content());
      }
    }
    if (content instanceof LastHttpContent) {
      if (isBodyDelimited) {
        completeResponse();
      } else if (channel.isActive()) {
        // The HTTP codec also ends the body when the connection is closed on this side.
        end = Optional.of(UnframedEnd.of(clock.instant(), requestBytes, isWrittenAtHead));
        // After the other reads of this pass, in which a reset behind a small request arrives.
        channel.eventLoop().execute(this::checkEnd);
      }
    }
  }

  /** Waits until it is known whether a body that ended with the target's output is complete. */
  private void checkEnd() {
    if (listener.isEmpty() || !channel.isActive()) {
      return;
    }
    boolean isRefusedByTarget = requestWrite.isDone() && writtenAt.isEmpty();
    boolean isResetByTarget = isRefusedByTarget || (requestBytes > 0 && channel.isReset());
    switch (end.orElseThrow().decide(isResetByTarget, writtenAt, clock.instant())) {
      case COMPLETE -> completeResponse();
      case RESET -> fail("the target reset the connection after the end of its response");
      case UNSENT -> fail("the target ended its response before it had the request");
      case UNDECIDED -> {
        var unused =
            channel
                .eventLoop()
                .schedule(this::checkEnd, END_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  private void completeResponse() {
    Optional<ResponseListener> completed = listener;
    listener = Optional.empty();
    isHeadReceived = false;
    completedResponses++;
    int bytesBehind = decoder.bufferedBytes();
    if (bytesBehind > 0) {
      recordUnexpected(bytesBehind, UnexpectedBytesListener.Cause.BEHIND_RESPONSE);
    }
    if (bytesBehind > 0 || writtenAt.isEmpty()) {
      isReusable = false;
    }
    idleExpiresAt = clock.instant().plus(idleTimeout);
    completed.ifPresent(ResponseListener::onComplete);
    if (!isReusable) {
      close();
    }
  }

  private void fail(String cause) {
    Optional<ResponseListener> failed = listener;
    listener = Optional.empty();
    close();
    failed.ifPresent(active -> active.onFailure(cause));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    isReset = true;
    fail("the connection to the target failed: " + cause.getMessage());
  }

  /** Called after the HTTP codec has ended a body that ends with the output of the target. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && end.isEmpty()) {
      fail("the target closed the connection");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("the connection to the target was closed or reset");
  }
}

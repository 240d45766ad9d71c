package org.geraniumwharf.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** A small HTTP server for calls with whole bodies, on the event loops of the process. */
public final class ApiServer {

  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final int IDLE_SECONDS = 30;
  private static final int BACKLOG = 512;

  private ApiServer() {}

  /** A whole request. */
  public record ApiRequest(String method, String path, ByteBuf body) {}

  /** A whole answer. */
  public record ApiAnswer(int status, String contentType, ByteBuf body) {

    /** An answer whose body is a JSON document. */
    public static ApiAnswer json(int status, byte[] body) {
      return new ApiAnswer(status, "application/json", Unpooled.wrappedBuffer(body));
    }

    /** An answer with text for people or for a collector of metrics. */
    public static ApiAnswer text(int status, byte[] body) {
      return new ApiAnswer(status, "text/plain; charset=utf-8", Unpooled.wrappedBuffer(body));
    }
  }

  /** Answers calls; an event loop waits for the method, never for the future. */
  public interface ApiHandler {

    CompletableFuture<ApiAnswer> handle(ApiRequest request);
  }

  /** Starts a server. */
  public static void start(
      EventLoopGroup loops, InetSocketAddress address, ApiHandler handler, EventLog log)
      throws InterruptedException {
    HttpListener.open(
        loops,
        address,
        BACKLOG,
        channel ->
            channel
                .pipeline()
                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS, TimeUnit.SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new Connection(handler, log)));
  }

  private static final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final ApiHandler handler;
    private final EventLog log;

    Connection(ApiHandler handler, EventLog log) {
      this.handler = handler;
      this.log = log;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean isKept = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      ApiRequest call =
          new ApiRequest(
              request.method().name(),
              new QueryStringDecoder(request.uri()).path(),
              Unpooled.copiedBuffer(request.content()));
      var unused =
          handle(call)
              .exceptionally(this::failed)
              .thenAccept(
                  answer -> context.executor().execute(() -> write(context, answer, isKept)));
    }

    private CompletableFuture<ApiAnswer> handle(ApiRequest call) {
      try {
        return handler.handle(call);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private ApiAnswer failed(Throwable cause) {
      log.warn(Event.of("internal-error").with("cause", cause));
      byte[] body =
          ErrorBodies.encode("", ServingErrors.internal(cause.getClass().getSimpleName()));
      return ApiAnswer.json(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), body);
    }

    private static void write(ChannelHandlerContext context, ApiAnswer answer, boolean isKept) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), answer.body());
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().readableBytes());
      if (isKept) {
        var unused = context.writeAndFlush(response);
      } else {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        var unused = context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      var unused = context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }
  }
}

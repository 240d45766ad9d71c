package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.geraniumwharf.relay.TargetNotice;

/**
 * HTTP client for small requests to targets and stores, which buffers each response completely. Its
 * connections are confined to one event loop. Thread-safe.
 */
public final class BufferingHttpClient {

  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private static final String NO_ID = "";

  private final EventLoop loop;
  private final TargetConnectionPool pool;
  private final InstantSource clock;

  /** Times before which servers want no further requests, by address. */
  private final Map<InetSocketAddress, Instant> pausedUntil = new HashMap<>();

  private BufferingHttpClient(EventLoop loop, TargetConnectionPool pool, InstantSource clock) {
    this.loop = loop;
    this.pool = pool;
    this.clock = clock;
  }

  /** Creates a client with its own connection pool. */
  public static BufferingHttpClient create(
      EventLoop loop, RelayProtocol protocol, InstantSource clock) {
    return new BufferingHttpClient(
        loop,
        new TargetConnectionPool(
            loop, protocol, UnexpectedBytesListener.none(), ConnectionReuseListener.none(), clock),
        clock);
  }

  /**
   * A complete response.
   *
   * @param status HTTP status code
   * @param body body in an unpooled buffer
   */
  public record Response(int status, ByteBuf body) {}

  /**
   * Sends a request and takes ownership of it. The future completes on the event loop, with an
   * exception if the connection fails, the response is too large, the timeout expires or an earlier
   * response asked for a pause that has not ended. The timeout starts when a connection has been
   * acquired.
   */
  public CompletableFuture<Response> send(
      InetSocketAddress address, FullHttpRequest request, Duration timeout) {
    CompletableFuture<Response> response = new CompletableFuture<>();
    loop.execute(() -> acquireAndSend(address, request, timeout, response));
    return response;
  }

  private void acquireAndSend(
      InetSocketAddress address,
      FullHttpRequest request,
      Duration timeout,
      CompletableFuture<Response> response) {
    if (isPaused(address)) {
      request.release();
      response.completeExceptionally(new IOException("the server wants no requests yet"));
      return;
    }
    pool.acquire(
        address,
        NO_ID,
        connection -> sendOver(address, connection, request, timeout, response),
        cause -> {
          request.release();
          response.completeExceptionally(cause);
        });
  }

  private boolean isPaused(InetSocketAddress address) {
    return clock.instant().isBefore(pausedUntil.getOrDefault(address, Instant.MIN));
  }

  private void recordPause(InetSocketAddress address, Duration pause) {
    Instant now = clock.instant();
    pausedUntil.values().removeIf(end -> !now.isBefore(end));
    pausedUntil.put(address, now.plus(pause));
  }

  private void sendOver(
      InetSocketAddress address,
      TargetConnection connection,
      FullHttpRequest request,
      Duration timeout,
      CompletableFuture<Response> response) {
    ResponseCollector collector = new ResponseCollector(address, connection, response);
    connection.send(request, NO_ID, collector);
    var unused = loop.schedule(collector::timedOut, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class ResponseCollector implements TargetConnection.ResponseListener {

    private final InetSocketAddress address;
    private final TargetConnection connection;
    private final CompletableFuture<Response> response;

    /** Copied, since a response may come in as many pieces as it has bytes. */
    private final ByteBuf body = Unpooled.buffer(0);

    private int status;

    ResponseCollector(
        InetSocketAddress address,
        TargetConnection connection,
        CompletableFuture<Response> response) {
      this.address = address;
      this.connection = connection;
      this.response = response;
    }

    @Override
    public void onNotice(TargetNotice notice) {
      notice.pause().ifPresent(pause -> recordPause(address, pause));
    }

    @Override
    public void onHead(HttpResponse head, TargetResponse ignored) {
      status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (body.readableBytes() + bytes.readableBytes() > MAX_RESPONSE_BYTES) {
        connection.cancel();
        onFailure("the answer exceeds " + MAX_RESPONSE_BYTES + " bytes");
      } else if (!response.isDone()) {
        body.writeBytes(bytes);
      }
    }

    @Override
    public void onComplete() {
      pool.release(address, connection);
      response.complete(new Response(status, body));
    }

    @Override
    public void onFailure(String cause) {
      response.completeExceptionally(new IOException(cause));
    }

    private void timedOut() {
      if (!response.isDone()) {
        connection.cancel();
        response.completeExceptionally(new TimeoutException("no answer in time"));
      }
    }
  }
}

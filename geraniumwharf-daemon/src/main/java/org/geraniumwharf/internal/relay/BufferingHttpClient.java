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
import java.util.function.BooleanSupplier;
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
   * @param notice what the server states about further requests
   */
  public record Response(int status, ByteBuf body, TargetNotice notice) {

    /** A response that states nothing about further requests. */
    public Response(int status, ByteBuf body) {
      this(status, body, TargetNotice.none());
    }
  }

  /**
   * Decides whether a response is the answer to a request, and reads it.
   *
   * @param <T> type of its contents
   */
  public interface ResponseReader<T> {

    /**
     * Reads a response.
     *
     * @throws IOException if it may be the answer to an earlier request, or cannot be read
     */
    T read(Response response) throws IOException;
  }

  /**
   * Sends a request over a connection of its own and takes ownership of it. The future completes on
   * the event loop, with an exception if the connection fails, the response is too large, the
   * timeout expires or an earlier response asked for a pause that has not ended. The timeout starts
   * when a connection has been acquired.
   */
  public CompletableFuture<Response> send(
      InetSocketAddress address, FullHttpRequest request, Duration timeout) {
    return sendIfAllowed(address, request, timeout, () -> true);
  }

  /**
   * Sends a request like {@link #send}, unless it is no longer allowed once the connection is open.
   * Then nothing is sent.
   *
   * @param isAllowed is called on the event loop
   */
  public CompletableFuture<Response> sendIfAllowed(
      InetSocketAddress address,
      FullHttpRequest request,
      Duration timeout,
      BooleanSupplier isAllowed) {
    Call<Response> call =
        new Call<>(address, request, timeout, response -> response, isAllowed, false);
    loop.execute(() -> acquireAndSend(call));
    return call.result();
  }

  /**
   * Sends a request like {@link #send}, over a connection that may have carried earlier ones. No id
   * tells the responses apart, so the reader has to tell by its contents whether a response is the
   * answer. The connection is kept only if it is.
   */
  public <T> CompletableFuture<T> sendReusing(
      InetSocketAddress address,
      FullHttpRequest request,
      Duration timeout,
      ResponseReader<T> reader) {
    Call<T> call = new Call<>(address, request, timeout, reader, () -> true, true);
    loop.execute(() -> acquireAndSend(call));
    return call.result();
  }

  /** A request and the future of its response. */
  private record Call<T>(
      InetSocketAddress address,
      FullHttpRequest request,
      Duration timeout,
      ResponseReader<T> reader,
      BooleanSupplier isAllowed,
      boolean isReusing,
      CompletableFuture<T> result) {

    Call(
        InetSocketAddress address,
        FullHttpRequest request,
        Duration timeout,
        ResponseReader<T> reader,
        BooleanSupplier isAllowed,
        boolean isReusing) {
      this(address, request, timeout, reader, isAllowed, isReusing, new CompletableFuture<>());
    }
  }

  private <T> void acquireAndSend(Call<T> call) {
    if (isPaused(call.address())) {
      callFailed(call, new IOException("the server wants no requests yet"));
    } else if (call.isReusing()) {
      pool.acquire(
          call.address(),
          NO_ID,
          connection -> sendOver(connection, call),
          cause -> callFailed(call, cause));
    } else {
      pool.open(
          call.address(),
          connection -> sendOver(connection, call),
          cause -> callFailed(call, cause));
    }
  }

  private static void callFailed(Call<?> unsent, Throwable cause) {
    unsent.request().release();
    unsent.result().completeExceptionally(cause);
  }

  private boolean isPaused(InetSocketAddress address) {
    return clock.instant().isBefore(pausedUntil.getOrDefault(address, Instant.MIN));
  }

  private void recordPause(InetSocketAddress address, Duration pause) {
    Instant now = clock.instant();
    pausedUntil.values().removeIf(end -> !now.isBefore(end));
    pausedUntil.put(address, now.plus(pause));
  }

  private <T> void sendOver(TargetConnection connection, Call<T> call) {
    if (!call.isAllowed().getAsBoolean()) {
      connection.close();
      callFailed(call, new IOException("the request is no longer allowed"));
      return;
    }
    ResponseCollector<T> collector = new ResponseCollector<>(connection, call);
    connection.send(call.request(), NO_ID, collector);
    var unused =
        loop.schedule(collector::timedOut, call.timeout().toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class ResponseCollector<T> implements TargetConnection.ResponseListener {

    private final TargetConnection connection;
    private final Call<T> call;

    /** Copied, since a response may come in as many pieces as it has bytes. */
    private final ByteBuf body = Unpooled.buffer(0);

    private int status;
    private TargetNotice notice = TargetNotice.none();

    ResponseCollector(TargetConnection connection, Call<T> call) {
      this.connection = connection;
      this.call = call;
    }

    @Override
    public void onNotice(TargetNotice notice) {
      notice.pause().ifPresent(pause -> recordPause(call.address(), pause));
    }

    @Override
    public void onHead(HttpResponse head, TargetResponse response) {
      notice = response.notice();
      status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (body.readableBytes() + bytes.readableBytes() > MAX_RESPONSE_BYTES) {
        connection.cancel();
        onFailure("the answer exceeds " + MAX_RESPONSE_BYTES + " bytes");
      } else if (!call.result().isDone()) {
        body.writeBytes(bytes);
      }
    }

    @Override
    public void onComplete() {
      try {
        T contents = call.reader().read(new Response(status, body, notice));
        if (call.isReusing()) {
          pool.release(call.address(), connection);
        } else {
          connection.close();
        }
        call.result().complete(contents);
      } catch (IOException e) {
        connection.close();
        call.result().completeExceptionally(e);
      }
    }

    @Override
    public void onFailure(String cause) {
      call.result().completeExceptionally(new IOException(cause));
    }

    private void timedOut() {
      if (!call.result().isDone()) {
        connection.cancel();
        call.result().completeExceptionally(new TimeoutException("no answer in time"));
      }
    }
  }
}

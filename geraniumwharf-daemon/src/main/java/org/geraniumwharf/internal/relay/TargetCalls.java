package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Calls with small whole answers to targets and stores, on one event loop. */
public final class TargetCalls {

  private static final int MAX_ANSWER_BYTES = 4 << 20;

  private final EventLoop loop;
  private final TargetConnections connections;

  private TargetCalls(EventLoop loop, TargetConnections connections) {
    this.loop = loop;
    this.connections = connections;
  }

  /** Creates calls over connections of their own. */
  public static TargetCalls create(EventLoop loop, RelayProtocol protocol, InstantSource clock) {
    return new TargetCalls(loop, new TargetConnections(loop, protocol, clock));
  }

  /**
   * The answer to a call.
   *
   * @param status HTTP status
   * @param body body, not pooled
   */
  public record Reply(int status, ByteBuf body) {}

  /** Sends a call; the future completes on the event loop. */
  public CompletableFuture<Reply> call(
      InetSocketAddress address, FullHttpRequest request, Duration timeout) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    loop.execute(() -> start(address, request, timeout, reply));
    return reply;
  }

  private void start(
      InetSocketAddress address,
      FullHttpRequest request,
      Duration timeout,
      CompletableFuture<Reply> reply) {
    connections.acquire(
        address,
        connection -> send(address, connection, request, timeout, reply),
        cause -> {
          request.release();
          reply.completeExceptionally(cause);
        });
  }

  private void send(
      InetSocketAddress address,
      TargetConnection connection,
      FullHttpRequest request,
      Duration timeout,
      CompletableFuture<Reply> reply) {
    Collector collector = new Collector(address, connection, reply);
    connection.send(request, "", collector);
    var unused = loop.schedule(collector::timedOut, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class Collector implements TargetConnection.Listener {

    private final InetSocketAddress address;
    private final TargetConnection connection;
    private final CompletableFuture<Reply> reply;
    private final CompositeByteBuf body = Unpooled.compositeBuffer();
    private int status;

    Collector(
        InetSocketAddress address, TargetConnection connection, CompletableFuture<Reply> reply) {
      this.address = address;
      this.connection = connection;
      this.reply = reply;
    }

    @Override
    public void head(HttpResponse head, TargetReply ignored) {
      status = head.status().code();
    }

    @Override
    public void content(ByteBuf bytes) {
      if (body.readableBytes() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
        connection.cancel();
        broken("the answer exceeds " + MAX_ANSWER_BYTES + " bytes");
      } else if (!reply.isDone()) {
        body.addComponent(true, Unpooled.copiedBuffer(bytes));
      }
    }

    @Override
    public void ended() {
      connections.release(address, connection);
      reply.complete(new Reply(status, body));
    }

    @Override
    public void broken(String cause) {
      reply.completeExceptionally(new IOException(cause));
    }

    private void timedOut() {
      if (!reply.isDone()) {
        connection.cancel();
        reply.completeExceptionally(new TimeoutException("no answer in time"));
      }
    }
  }
}

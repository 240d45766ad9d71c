package org.geraniumwharf.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * Idle keep-alive connections to targets; the most recently used one is reused first. A connection
 * is not reused for an id that it has carried: a copy of the earlier answer could not be told from
 * the answer to the later request. Confined to its event loop.
 */
final class TargetConnectionPool {

  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  /** Idle time and interval of the TCP keep-alive probes that detect an unresponsive peer. */
  private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

  private static final int KEEP_ALIVE_PROBES = 2;

  /**
   * Reads of one connection in a pass of the event loop. Those of a long response would otherwise
   * hold up the requests of other callers.
   */
  private static final int READS_PER_PASS = 1;

  private final EventLoop loop;
  private final RelayProtocol protocol;
  private final UnexpectedBytesListener unexpectedBytes;
  private final ConnectionReuseListener reuse;
  private final InstantSource clock;
  private final Bootstrap bootstrap;
  private final DeferredFlushes flushes = new DeferredFlushes();
  private final Map<InetSocketAddress, Deque<TargetConnection>> idle = new HashMap<>();

  TargetConnectionPool(
      EventLoop loop,
      RelayProtocol protocol,
      UnexpectedBytesListener unexpectedBytes,
      ConnectionReuseListener reuse,
      InstantSource clock) {
    this.loop = loop;
    this.protocol = protocol;
    this.unexpectedBytes = unexpectedBytes;
    this.reuse = reuse;
    this.clock = clock;
    this.bootstrap = createBootstrap();
  }

  /** Returns the flushes that run at the end of the present read of a connection of the pool. */
  DeferredFlushes flushes() {
    return flushes;
  }

  /**
   * Reuses an idle connection that has not carried a request, or opens a new one. On failure
   * nothing has been sent.
   *
   * @param requestId id of the request; empty if it has none
   */
  void acquire(
      InetSocketAddress address,
      String requestId,
      Consumer<TargetConnection> opened,
      Consumer<Throwable> failed) {
    Optional<TargetConnection> reusable = takeIdle(address, requestId, clock.instant());
    if (reusable.isPresent()) {
      opened.accept(reusable.get());
    } else {
      open(address, opened, failed);
    }
  }

  /**
   * Removes the newest idle connection that may carry a request. Those before it stay if they have
   * carried it, and are closed if they are no longer usable.
   */
  private Optional<TargetConnection> takeIdle(
      InetSocketAddress address, String requestId, Instant now) {
    Deque<TargetConnection> found = idle.get(address);
    if (found == null) {
      return Optional.empty();
    }
    Iterator<TargetConnection> newestFirst = found.iterator();
    while (newestFirst.hasNext()) {
      TargetConnection connection = newestFirst.next();
      if (connection.isPoolable() && connection.mayHaveCarried(requestId)) {
        recordNotReused(address, requestId, connection, ConnectionReuseListener.Cause.SAME_REQUEST);
        continue;
      }
      newestFirst.remove();
      if (connection.isUsable(now)) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private void recordNotReused(
      InetSocketAddress address,
      String requestId,
      TargetConnection connection,
      ConnectionReuseListener.Cause cause) {
    reuse.notReused(
        new ConnectionReuseListener.UnreusedConnection(
            address, requestId, connection.localPort(), cause));
  }

  /**
   * Opens a new connection and closes it.
   *
   * @param done receives the cause if the connection failed
   */
  void probe(InetSocketAddress address, Consumer<Optional<Throwable>> done) {
    open(
        address,
        connection -> {
          connection.close();
          done.accept(Optional.empty());
        },
        cause -> done.accept(Optional.of(cause)));
  }

  /** Opens a new connection. On failure nothing has been sent. */
  void open(
      InetSocketAddress address, Consumer<TargetConnection> opened, Consumer<Throwable> failed) {
    ChannelFuture connecting = bootstrap.connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            loop.execute(() -> handOver(connecting.channel(), opened, failed));
          } else {
            failed.accept(done.cause());
          }
        });
  }

  /** Runs after the reads of the same pass, which may include the close of the caller. */
  private static void handOver(
      Channel channel, Consumer<TargetConnection> opened, Consumer<Throwable> failed) {
    if (channel.isActive()) {
      opened.accept(channel.pipeline().get(TargetConnection.class));
    } else {
      failed.accept(new ClosedChannelException());
    }
  }

  private Bootstrap createBootstrap() {
    return new Bootstrap()
        .group(loop)
        .channelFactory(TargetSocketChannel::new)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.AUTO_CLOSE, false)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(
            ChannelOption.RCVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_PASS))
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_PROBE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_PROBE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<TargetSocketChannel>() {
              @Override
              protected void initChannel(TargetSocketChannel channel) {
                TargetResponseDecoder decoder = new TargetResponseDecoder();
                TargetConnection connection =
                    new TargetConnection(
                        channel, decoder, protocol, unexpectedBytes, flushes, clock);
                channel
                    .pipeline()
                    .addLast(connection.receivedBytesHandler())
                    .addLast(decoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
              }
            });
  }

  /** Returns a connection whose response is complete to the pool, if it can be reused. */
  void release(InetSocketAddress address, TargetConnection connection) {
    if (connection.isPoolable() && connection.isHistoryFull()) {
      recordNotReused(address, "", connection, ConnectionReuseListener.Cause.HISTORY_FULL);
      connection.close();
    } else if (connection.isPoolable()) {
      connection.setReading(true);
      idle.computeIfAbsent(address, key -> new ArrayDeque<>()).push(connection);
    }
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.http.HttpListener;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.schema.objects.RelayLimits;

/** Accepts connections of callers and builds their pipelines. */
final class RelayServer {

  private static final int ACCEPT_BACKLOG = HttpListener.CALLER_BACKLOG;

  /** Time between two looks for the first confirmed view; short against the goals of callers. */
  private static final long ACCEPT_CHECK_INTERVAL_MILLIS = 10;

  private static final int MAX_INITIAL_LINE_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  /** Limits that apply until the first configuration is received. */
  private static final RelayLimits DEFAULT_LIMITS =
      RelayLimits.of("default", 16 << 10, 4 << 20, 3000, 15_000);

  /**
   * Extra time so that a caller that relies on the idle timeout never meets a closed connection.
   */
  private static final long IDLE_MARGIN_MILLIS = 1000;

  private final RelayState relay;
  private final EventLoopGroup loops;
  private final Map<EventLoop, TargetConnectionPool> targetPools = new ConcurrentHashMap<>();
  private final Map<EventLoop, EventLoopLag> loopLags = new ConcurrentHashMap<>();
  private final Map<EventLoop, RequestStarter> requestStarters = new ConcurrentHashMap<>();
  private final Map<EventLoop, HeldRequests> heldRequests = new ConcurrentHashMap<>();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile Optional<Instant> drainingSince = Optional.empty();

  RelayServer(RelayState relay, EventLoopGroup loops) {
    this.relay = relay;
    this.loops = loops;
  }

  /**
   * Opens the listener.
   *
   * @param bound socket that listens already, if there is one; its connections are accepted when
   *     the hold policy says so
   */
  void start(InetSocketAddress address, Optional<ServerSocketChannel> bound)
      throws InterruptedException {
    if (bound.isPresent()) {
      EventLoop loop = loops.next();
      Instant boundAt = relay.now();
      loop.execute(() -> acceptInTime(loop, bound.get(), boundAt));
    } else {
      HttpListener.open(loops, address, ACCEPT_BACKLOG, this::accept);
    }
  }

  private void acceptInTime(EventLoop loop, ServerSocketChannel bound, Instant boundAt) {
    Instant now = relay.now();
    boolean isAwaiting = relay.admission().isAwaitingFirstView(now);
    if (!relay.holdPolicy().mayAccept(isAwaiting, boundAt, now)) {
      var unused =
          loop.schedule(
              () -> acceptInTime(loop, bound, boundAt),
              ACCEPT_CHECK_INTERVAL_MILLIS,
              TimeUnit.MILLISECONDS);
      return;
    }
    HttpListener.open(loops, bound, this::accept)
        .addListener(opened -> logAccepting(opened, Duration.between(boundAt, now)));
  }

  private void logAccepting(Future<?> opened, Duration delay) {
    Event event =
        Event.of("entry-accepting")
            .with("delayMillis", delay.toMillis())
            .with("cause", opened.isSuccess() ? "none" : opened.cause().getMessage());
    if (opened.isSuccess()) {
      relay.log().info(event);
    } else {
      relay.log().warn(event);
    }
  }

  private void accept(SocketChannel channel) {
    RelayLimits limits = relay.admission().routing().table().limits().orElse(DEFAULT_LIMITS);
    EventLoopLag loopLag =
        loopLags.computeIfAbsent(
            channel.eventLoop(),
            loop -> EventLoopLag.start(loop, relay.clock(), LagReporter.create(relay)));
    AbandonedRequestHandler abandonedRequests =
        new AbandonedRequestHandler(requestStarter(channel), loopLag, relay.metrics(), relay.log());
    IdleTimeoutHandler idleTimeout =
        new IdleTimeoutHandler(Duration.ofMillis(limits.idleTimeoutMillis() + IDLE_MARGIN_MILLIS));
    CallerConnection connection =
        new CallerConnection(
            relay,
            targetPool(channel),
            heldRequests(channel),
            abandonedRequests,
            idleTimeout,
            loopLag,
            () -> drainingSince,
            limits.maxHeaderBytes());
    HeadTimeoutHandler headTimeout =
        new HeadTimeoutHandler(Duration.ofMillis(limits.headerTimeoutMillis()), relay.log());
    channel
        .pipeline()
        .addLast(idleTimeout)
        .addLast(headTimeout)
        .addLast(
            new HttpServerCodec(MAX_INITIAL_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES))
        .addLast(headTimeout.decodedMessageHandler())
        .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
        .addLast(abandonedRequests)
        .addLast(connection);
    // Other threads call the connections of the set, which need the pipeline.
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
  }

  private RequestStarter requestStarter(Channel channel) {
    return requestStarters.computeIfAbsent(
        channel.eventLoop(), loop -> new RequestStarter(loop, relay.clock()));
  }

  private HeldRequests heldRequests(Channel channel) {
    return heldRequests.computeIfAbsent(
        channel.eventLoop(), loop -> new HeldRequests(relay, loop, requestStarter(channel)));
  }

  private TargetConnectionPool targetPool(Channel channel) {
    return targetPools.computeIfAbsent(
        channel.eventLoop(),
        loop ->
            new TargetConnectionPool(
                loop,
                relay.protocol(),
                relay::recordUnexpectedBytes,
                relay::recordNotReused,
                relay.clock()));
  }

  /** Closes each connection after its next response from now on. */
  void startDraining(Instant now) {
    drainingSince = Optional.of(now);
  }

  /** Gives up the requests in flight because the process stops. */
  void cutRequests() {
    connections.forEach(CallerConnection::scheduleCut);
  }

  /** Closes the connections that have no request in flight and no answer to send. */
  void closeIdleConnections() {
    connections.forEach(connection -> connection.scheduleCloseIfIdle());
  }

  /** Returns whether a caller has not yet taken the whole answer to a request that ended. */
  boolean hasUnsentAnswers() {
    return connections.stream().anyMatch(CallerConnection::hasUnsentAnswer);
  }

  int inFlight() {
    return relay.inFlight().get();
  }
}

package org.geraniumwharf.internal.relay;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.internal.http.HttpListener;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are started although the close of their caller had already arrived
 * when they were read: the event loop reads the close in a later pass than the request.
 */
class CloseBehindRequestTest {

  private static final int CALLERS = 30;
  private static final byte[] REQUEST = {'r', 'e', 'q'};
  private static final long READ_COST_MILLIS = 3;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final CountDownLatch stallEnd = new CountDownLatch(1);
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger ended = new AtomicInteger();
  private final AtomicInteger started = new AtomicInteger();

  @AfterEach
  void stopLoops() {
    loops.shutdownGracefully(0, 1, SECONDS).syncUninterruptibly();
  }

  @Test
  void should_not_start_requests_whose_callers_left_during_a_long_stall() throws Exception {
    List<Socket> callers = connectCallers();

    sendDuringStall(callers, 300, true);

    await().atMost(10, SECONDS).until(() -> ended.get() == CALLERS);
    assertEquals(0, started.get());
  }

  @Test
  void should_not_start_requests_whose_callers_left_during_a_short_stall() throws Exception {
    List<Socket> callers = connectCallers();

    sendDuringStall(callers, 10, true);

    await().atMost(10, SECONDS).until(() -> ended.get() == CALLERS);
    assertEquals(0, started.get());
  }

  @Test
  void should_start_requests_whose_callers_still_wait_after_a_stall() throws Exception {
    List<Socket> callers = connectCallers();

    sendDuringStall(callers, 300, false);

    await().atMost(10, SECONDS).until(() -> started.get() == CALLERS);
    for (Socket caller : callers) {
      caller.close();
    }
  }

  private void sendDuringStall(List<Socket> callers, long stallMillis, boolean isLeaving)
      throws IOException, InterruptedException {
    loops.next().execute(this::stall);
    for (Socket caller : callers) {
      caller.getOutputStream().write(REQUEST);
      if (isLeaving) {
        caller.close();
      }
    }
    Thread.sleep(stallMillis);
    stallEnd.countDown();
  }

  private List<Socket> connectCallers() throws IOException, InterruptedException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    EventLoopLag lag = EventLoopLag.start(loops.next(), Clock.systemUTC(), measured -> {});
    RequestStarter starter = new RequestStarter(loops.next(), Clock.systemUTC());
    HttpListener.open(loops, address, CALLERS, channel -> addHandlers(channel, starter, lag));
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new Socket(address.getAddress(), address.getPort()));
    }
    await().atMost(10, SECONDS).until(() -> accepted.get() == CALLERS);
    return callers;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void addHandlers(SocketChannel channel, RequestStarter starter, EventLoopLag lag) {
    channel.closeFuture().addListener(closed -> ended.incrementAndGet());
    channel
        .pipeline()
        .addLast(new SlowReads())
        .addLast(new AbandonedRequestHandler(starter, lag, DaemonMetrics.create(), EventLog.none()))
        .addLast(new StartedRequests());
    accepted.incrementAndGet();
  }

  private void stall() {
    try {
      stallEnd.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Makes each read as expensive as at a loop that lags. */
  private static final class SlowReads extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message)
        throws InterruptedException {
      Thread.sleep(READ_COST_MILLIS);
      context.fireChannelRead(message);
    }
  }

  private final class StartedRequests extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      started.addAndGet(((ByteBuf) message).isReadable() ? 1 : 0);
      ReferenceCountUtil.release(message);
    }
  }
}

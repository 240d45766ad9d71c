package org.geraniumwharf.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;

/** Opens listening sockets. */
public final class HttpListener {

  /** Connections of callers that may wait to be accepted. */
  public static final int CALLER_BACKLOG = 1024;

  private HttpListener() {}

  /**
   * Listens at an address for callers before there is an event loop: the system accepts connections
   * meanwhile, which would otherwise be refused.
   *
   * @throws IOException if the address cannot be used
   */
  public static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      return channel.bind(address, CALLER_BACKLOG);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /**
   * Accepts the connections of a socket that listens already. Does not wait until it does.
   *
   * @param accepted adds the handlers of a connection that was accepted
   */
  public static ChannelFuture open(
      EventLoopGroup loops, ServerSocketChannel bound, Consumer<SocketChannel> accepted) {
    return bootstrap(loops, accepted)
        .channelFactory(() -> new NioServerSocketChannel(bound))
        .register();
  }

  /**
   * Listens at an address.
   *
   * @param backlog connections that may wait to be accepted
   * @param accepted adds the handlers of a connection that was accepted
   */
  public static void open(
      EventLoopGroup loops,
      InetSocketAddress address,
      int backlog,
      Consumer<SocketChannel> accepted)
      throws InterruptedException {
    bootstrap(loops, accepted)
        .channelFactory(NioServerSocketChannel::new)
        .option(ChannelOption.SO_BACKLOG, backlog)
        .option(ChannelOption.SO_REUSEADDR, true)
        .bind(address)
        .sync();
  }

  private static ServerBootstrap bootstrap(EventLoopGroup loops, Consumer<SocketChannel> accepted) {
    return new ServerBootstrap()
        .group(loops)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accepted.accept(channel);
              }
            });
  }
}

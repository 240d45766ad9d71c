package org.geraniumwharf.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens listening sockets. */
public final class HttpListener {

  private HttpListener() {}

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
    new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, backlog)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accepted.accept(channel);
              }
            })
        .bind(address)
        .sync();
  }
}

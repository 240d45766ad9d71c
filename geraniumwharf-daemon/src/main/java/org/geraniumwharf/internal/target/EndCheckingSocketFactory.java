package org.geraniumwharf.internal.target;

import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Creates sockets that the client connects itself. */
final class EndCheckingSocketFactory extends SocketFactory {

  @Override
  public Socket createSocket() {
    return new EndCheckingSocket();
  }

  @Override
  public Socket createSocket(String host, int port) {
    throw connected();
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort) {
    throw connected();
  }

  @Override
  public Socket createSocket(InetAddress host, int port) {
    throw connected();
  }

  @Override
  public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) {
    throw connected();
  }

  private static UnsupportedOperationException connected() {
    return new UnsupportedOperationException("only sockets that are not connected");
  }
}

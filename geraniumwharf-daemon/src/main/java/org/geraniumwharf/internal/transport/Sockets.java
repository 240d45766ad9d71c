package org.geraniumwharf.internal.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;

/** Plain or TLS sockets between daemons. */
public final class Sockets {

  private static final int CONNECT_MILLIS = 1000;
  private static final int BACKLOG = 512;

  private final Optional<SSLContext> tls;

  private Sockets(Optional<SSLContext> tls) {
    this.tls = tls;
  }

  /** Returns sockets that use mutual TLS when a context is given. */
  public static Sockets of(Optional<SSLContext> tls) {
    return new Sockets(tls);
  }

  ServerSocket listen(InetSocketAddress address) throws IOException {
    ServerSocket server =
        tls.isPresent()
            ? tls.get().getServerSocketFactory().createServerSocket()
            : new ServerSocket();
    if (server instanceof SSLServerSocket secure) {
      secure.setNeedClientAuth(true);
    }
    server.setReuseAddress(true);
    server.bind(address, BACKLOG);
    return server;
  }

  Socket connect(InetSocketAddress address) throws IOException {
    Socket plain = new Socket();
    try {
      plain.connect(address, CONNECT_MILLIS);
      plain.setTcpNoDelay(true);
      plain.setSoTimeout(PeerConnection.SILENCE_MILLIS);
      if (tls.isEmpty()) {
        return plain;
      }
      SSLSocket secure =
          (SSLSocket)
              tls.get()
                  .getSocketFactory()
                  .createSocket(plain, address.getHostString(), address.getPort(), true);
      secure.startHandshake();
      return secure;
    } catch (IOException e) {
      closeQuietly(plain);
      throw e;
    }
  }

  static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      // The resource is given up either way.
    }
  }
}

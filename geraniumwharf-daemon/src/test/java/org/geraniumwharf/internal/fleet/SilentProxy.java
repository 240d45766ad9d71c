package org.geraniumwharf.internal.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.internal.threads.DaemonThreads;

/** A proxy that carries bytes until it is told to keep them, while it still accepts connections. */
final class SilentProxy implements AutoCloseable {

  private final InetSocketAddress behind;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean isSilent;

  private SilentProxy(InetSocketAddress behind, ServerSocket server) {
    this.behind = behind;
    this.server = server;
  }

  static SilentProxy start(InetSocketAddress behind) throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    SilentProxy proxy = new SilentProxy(behind, server);
    DaemonThreads.start(proxy::acceptAll, "proxy-accept");
    return proxy;
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  void silence() {
    isSilent = true;
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Socket far = new Socket();
        sockets.add(near);
        sockets.add(far);
        far.connect(behind);
        DaemonThreads.start(() -> carry(near, far), "proxy-out");
        DaemonThreads.start(() -> carry(far, near), "proxy-in");
      } catch (IOException e) {
        // Closed by the test, or the instance behind it is.
      }
    }
  }

  private void carry(Socket from, Socket to) {
    try (from;
        to) {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      byte[] buffer = new byte[8192];
      for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
        if (!isSilent) {
          output.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One side closed.
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      // Given up either way.
    }
  }
}

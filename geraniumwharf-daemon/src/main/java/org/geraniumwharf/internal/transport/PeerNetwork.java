package org.geraniumwharf.internal.transport;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.HelloAccepted;
import org.geraniumwharf.schema.messages.PeerMessage;

/** Opens and accepts authenticated connections between daemons. */
public final class PeerNetwork implements AutoCloseable {

  private final Sockets sockets;
  private final Handshake handshake;
  private final EventLog log;
  private final PeerTraffic traffic = new PeerTraffic();
  private final Set<PeerConnection> accepted = ConcurrentHashMap.newKeySet();
  private final ExecutorService handshakes = Executors.newCachedThreadPool(PeerNetwork::newThread);
  private volatile ServerSocket server;

  private PeerNetwork(Sockets sockets, Handshake handshake, EventLog log) {
    this.sockets = sockets;
    this.handshake = handshake;
    this.log = log;
  }

  /**
   * Creates a network without any connection.
   *
   * @param name name of this daemon
   * @param isInitialised whether the local replica holds any log entry
   */
  public static PeerNetwork create(
      String name, ClusterKey key, Sockets sockets, BooleanSupplier isInitialised, EventLog log) {
    return new PeerNetwork(sockets, new Handshake(name, key, isInitialised), log);
  }

  public PeerTraffic traffic() {
    return traffic;
  }

  /** Logs that no worker was free to open the connection of a link. */
  void logConnectRefused(InetSocketAddress address) {
    log.warn(
        Event.of("link-connect-refused")
            .with("address", address)
            .with("cause", "every worker is busy"));
  }

  /** Starts to accept connections. */
  void listen(InetSocketAddress address, PeerConnection.Handler handler) throws IOException {
    server = sockets.listen(address);
    Thread thread = newThread(() -> acceptAll(handler));
    thread.setName("peer-accept");
    thread.start();
  }

  private void acceptAll(PeerConnection.Handler handler) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        handshakes.execute(() -> acceptOne(socket, handler));
      } catch (IOException | RejectedExecutionException e) {
        if (!server.isClosed()) {
          log.warn(Event.of("peer-accept-failed").with("cause", e));
        }
      }
    }
  }

  private void acceptOne(Socket socket, PeerConnection.Handler handler) {
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(PeerConnection.SILENCE_MILLIS);
      DataInputStream input = input(socket);
      String remote = handshake.accept(input, new DataOutputStream(socket.getOutputStream()));
      PeerConnection connection =
          new PeerConnection(socket, remote, input, forgetting(handler), traffic, log);
      accepted.add(connection);
      connection.start();
    } catch (IOException e) {
      Sockets.closeQuietly(socket);
      log.warn(
          Event.of("peer-refused")
              .with("address", socket.getRemoteSocketAddress())
              .with("cause", e.getMessage()));
    }
  }

  private PeerConnection.Handler forgetting(PeerConnection.Handler handler) {
    return new PeerConnection.Handler() {
      @Override
      public void received(PeerConnection connection, long correlation, PeerMessage message) {
        handler.received(connection, correlation, message);
      }

      @Override
      public void closed(PeerConnection connection) {
        accepted.remove(connection);
        handler.closed(connection);
      }
    };
  }

  /** A new connection and what the other side said of itself. */
  record Connected(PeerConnection connection, HelloAccepted hello) {}

  /** Connects and authenticates; the caller starts the connection. */
  Connected connect(InetSocketAddress address, PeerConnection.Handler handler) throws IOException {
    Socket socket = sockets.connect(address);
    try {
      DataInputStream input = input(socket);
      HelloAccepted hello =
          handshake.connect(input, new DataOutputStream(socket.getOutputStream()));
      return new Connected(
          new PeerConnection(socket, hello.name(), input, handler, traffic, log), hello);
    } catch (IOException e) {
      Sockets.closeQuietly(socket);
      throw e;
    }
  }

  private static DataInputStream input(Socket socket) throws IOException {
    return new DataInputStream(new BufferedInputStream(socket.getInputStream()));
  }

  private static Thread newThread(Runnable work) {
    return DaemonThreads.create(work, "peer-handshake");
  }

  @Override
  public void close() {
    if (server != null) {
      Sockets.closeQuietly(server);
    }
    handshakes.shutdownNow();
    accepted.forEach(PeerConnection::close);
  }
}

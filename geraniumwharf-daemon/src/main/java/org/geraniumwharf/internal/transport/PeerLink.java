package org.geraniumwharf.internal.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;

/**
 * The connection to one other daemon, opened when it is needed and again after it broke. Connecting
 * happens on a worker; meanwhile one-way messages are dropped and calls fail. The lock is not held
 * while another is taken.
 */
public final class PeerLink implements AutoCloseable {

  private static final Duration RECONNECT_PAUSE = Duration.ofMillis(100);

  private final InetSocketAddress address;
  private final PeerNetwork network;
  private final Executor workers;
  private final InstantSource clock;
  private Optional<PeerConnection> connection = Optional.empty();
  private boolean isConnecting;
  private boolean isClosed;
  private boolean isRefused;
  private Instant nextAttempt = Instant.MIN;

  PeerLink(InetSocketAddress address, PeerNetwork network, Executor workers, InstantSource clock) {
    this.address = address;
    this.network = network;
    this.workers = workers;
    this.clock = clock;
  }

  /** Sends a one-way message, or drops it when there is no connection. */
  public void send(PeerMessage message) {
    openConnection().ifPresent(open -> open.send(message));
  }

  /** Calls the other side; the future fails at once when there is no connection. */
  public CompletableFuture<ControlAnswer> call(PeerMessage message, Duration timeout) {
    Optional<PeerConnection> open = openConnection();
    if (open.isPresent()) {
      return open.get().call(message, timeout);
    }
    return CompletableFuture.failedFuture(new ConnectException("no connection to " + address));
  }

  private Optional<PeerConnection> openConnection() {
    Optional<PeerConnection> open = openOrStartConnecting();
    if (open.isEmpty() && takeRefusal()) {
      network.logConnectRefused(address);
    }
    return open;
  }

  private synchronized boolean takeRefusal() {
    boolean wasRefused = isRefused;
    isRefused = false;
    return wasRefused;
  }

  private synchronized Optional<PeerConnection> openOrStartConnecting() {
    if (connection.isPresent() && connection.get().isOpen()) {
      return connection;
    }
    connection = Optional.empty();
    Instant now = clock.instant();
    if (!isConnecting && !isClosed && !now.isBefore(nextAttempt)) {
      isConnecting = true;
      nextAttempt = now.plus(RECONNECT_PAUSE);
      startConnecting();
    }
    return Optional.empty();
  }

  /** While every worker is busy the connection is left to the next message after the pause. */
  private void startConnecting() {
    try {
      workers.execute(this::connect);
    } catch (RejectedExecutionException e) {
      isConnecting = false;
      isRefused = true;
    }
  }

  private void connect() {
    Optional<PeerConnection> opened = Optional.empty();
    try {
      PeerConnection connected = network.connect(address, new IgnoringHandler()).connection();
      connected.start();
      opened = Optional.of(connected);
    } catch (IOException e) {
      // The next message tries again.
    }
    connected(opened);
  }

  private synchronized void connected(Optional<PeerConnection> opened) {
    isConnecting = false;
    if (isClosed) {
      opened.ifPresent(PeerConnection::close);
    } else {
      connection = opened;
    }
  }

  @Override
  public synchronized void close() {
    isClosed = true;
    connection.ifPresent(PeerConnection::close);
  }

  /** The accepting side only answers calls. */
  private static final class IgnoringHandler implements PeerConnection.Handler {

    @Override
    public void received(PeerConnection connection, long correlation, PeerMessage message) {}

    @Override
    public void closed(PeerConnection connection) {}
  }
}

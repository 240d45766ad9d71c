package org.geraniumwharf.internal.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.geraniumwharf.control.ViewSink;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.HelloAccepted;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.WatchCall;

/** Links to the control instances, one each, and separate connections for watch streams. */
public final class PeerLinks implements AutoCloseable {

  private final PeerNetwork network;
  private final Function<String, InetSocketAddress> addresses;
  private final Executor workers;
  private final InstantSource clock;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  private PeerLinks(
      PeerNetwork network,
      Function<String, InetSocketAddress> addresses,
      Executor workers,
      InstantSource clock) {
    this.network = network;
    this.addresses = addresses;
    this.workers = workers;
    this.clock = clock;
  }

  public static PeerLinks create(
      PeerNetwork network,
      Function<String, InetSocketAddress> addresses,
      Executor workers,
      InstantSource clock) {
    return new PeerLinks(network, addresses, workers, clock);
  }

  /** Sends a one-way message, or drops it while there is no connection. */
  public void send(String to, PeerMessage message) {
    link(to).send(message);
  }

  /** Calls a control instance; the future fails when it cannot be reached in time. */
  public CompletableFuture<ControlAnswer> call(String to, PeerMessage message, Duration timeout) {
    return link(to).call(message, timeout);
  }

  private PeerLink link(String to) {
    return links.computeIfAbsent(
        to, name -> new PeerLink(addresses.apply(name), network, workers, clock));
  }

  /**
   * Opens a watch stream.
   *
   * @param sink receives the stream, and ends it by rejecting a message
   * @param ended runs after the last message
   * @throws IOException if the instance cannot be reached
   */
  public AutoCloseable watch(String to, WatchCall call, ViewSink sink, Runnable ended)
      throws IOException {
    PeerConnection.Handler handler =
        new PeerConnection.Handler() {
          @Override
          public void received(PeerConnection connection, long correlation, PeerMessage message) {
            if (!(message instanceof ControlAnswer answer) || !sink.offer(answer)) {
              connection.close();
            }
          }

          @Override
          public void closed(PeerConnection connection) {
            ended.run();
          }
        };
    PeerConnection connection = network.connect(addresses.apply(to), handler).connection();
    connection.start();
    connection.send(call);
    return connection;
  }

  /**
   * Asks a control instance whether its replica holds any log entry.
   *
   * @throws IOException if it cannot be reached
   */
  public boolean isInitialised(String name) throws IOException {
    PeerNetwork.Connected connected =
        network.connect(addresses.apply(name), new DiscardingHandler());
    HelloAccepted hello = connected.hello();
    connected.connection().close();
    return hello.initialised();
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
  }

  private static final class DiscardingHandler implements PeerConnection.Handler {

    @Override
    public void received(PeerConnection connection, long correlation, PeerMessage message) {}

    @Override
    public void closed(PeerConnection connection) {}
  }
}

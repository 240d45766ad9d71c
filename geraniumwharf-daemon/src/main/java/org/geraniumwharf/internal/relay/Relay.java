package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.function.IntSupplier;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.RelayLoadTable;

/** A running relay. */
public final class Relay {

  private final RelayServer server;

  private Relay(RelayServer server) {
    this.server = server;
  }

  /**
   * Bounds of a relay.
   *
   * @param dataCentre where this instance stands
   * @param retryShare repeats that all instances may send, relative to the requests
   * @param retryReserve repeats that all instances together may send beyond that share
   */
  public record Rules(String dataCentre, double retryShare, double retryReserve) {}

  /**
   * Starts to accept callers.
   *
   * @param load work at the targets, which the instances tell each other
   * @param instances live entry instances, this one among them
   */
  public static Relay start(
      FleetViewHolder holder,
      Readiness readiness,
      RelayProtocol protocol,
      CacheProtocol cache,
      Rules rules,
      RelayLoadTable load,
      IntSupplier instances,
      EventLoopGroup loops,
      InetSocketAddress address,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock)
      throws InterruptedException {
    RelayState front =
        RelayState.create(holder, readiness, protocol, rules, load, instances, metrics, log, clock);
    RelayServer server = new RelayServer(front, loops);
    server.start(address);
    EventLoop loop = loops.next();
    front.pollStores(cache, BufferingHttpClient.create(loop, protocol, clock), loop, holder);
    return new Relay(server);
  }

  /** Ends each connection with its next answer from now on. */
  public void startDraining() {
    server.startDraining();
  }

  /** Closes the connections on which no request is under way. */
  public void closeIdleConnections() {
    server.closeIdleConnections();
  }

  /** Returns the requests under way. */
  public int inFlight() {
    return server.inFlight();
  }
}

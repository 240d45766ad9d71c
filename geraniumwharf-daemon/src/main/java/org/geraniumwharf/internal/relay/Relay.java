package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.DataCentreRegions;
import org.geraniumwharf.relay.HoldPolicy;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.weights.ReplacedWeights;

/** A running relay, which forwards HTTP requests of callers to targets. */
public final class Relay {

  private final RelayState state;
  private final RelayServer server;

  private Relay(RelayState state, RelayServer server) {
    this.state = state;
    this.server = server;
  }

  /**
   * Placement and retry settings of a relay.
   *
   * @param dataCentre data centre of this instance
   * @param retryShare retries that all instances together may send, as a fraction of the requests
   * @param retryReserve retries that all instances together may send beyond that share
   * @param weights time after which no request may begin on replaced weights
   * @param hold which requests are held before the first confirmed view
   * @param isQueueFair whether queued requests are ordered by fair shares and slack
   * @param isCostLearned whether placement uses learned speeds of targets and costs of requests
   * @param regions returns the regions of the data centres that are known now
   */
  public record Rules(
      String dataCentre,
      double retryShare,
      double retryReserve,
      ReplacedWeights.Bounds weights,
      HoldPolicy hold,
      boolean isQueueFair,
      boolean isCostLearned,
      Supplier<DataCentreRegions> regions) {

    /** Rules that hold no request before the first confirmed view and know no regions. */
    public Rules(
        String dataCentre, double retryShare, double retryReserve, ReplacedWeights.Bounds weights) {
      this(
          dataCentre,
          retryShare,
          retryReserve,
          weights,
          HoldPolicy.none(),
          false,
          false,
          DataCentreRegions::none);
    }
  }

  /**
   * Starts to accept connections of callers.
   *
   * @param stores contents of the cache stores
   * @param load load of the targets, which the instances report to each other
   * @param quarantine prompt parts that are refused
   * @param liveInstances number of live entry instances, including this one
   * @param bound socket that listens already, if there is one
   * @throws InterruptedException if the thread is interrupted while the listener is opened
   */
  public static Relay start(
      FleetViewHolder holder,
      Readiness readiness,
      RelayProtocol protocol,
      KnownStores stores,
      Rules rules,
      RelayLoadTable load,
      LoggedQuarantine quarantine,
      IntSupplier liveInstances,
      EventLoopGroup loops,
      InetSocketAddress address,
      Optional<ServerSocketChannel> bound,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock)
      throws InterruptedException {
    RelayState relay =
        RelayState.create(
            holder,
            readiness,
            protocol,
            stores,
            rules,
            load,
            quarantine,
            liveInstances,
            metrics,
            log,
            clock);
    RelayServer server = new RelayServer(relay, loops);
    server.start(address, bound);
    return new Relay(relay, server);
  }

  /** Wakes queued requests, which may have permits now. */
  public void wakeQueued() {
    state.wakeAllQueued();
  }

  /** Closes each connection of a caller after its next response from now on. */
  public void startDraining(Instant now) {
    server.startDraining(now);
  }

  /** Gives up the requests in flight because the process stops. */
  public void cutRequests() {
    server.cutRequests();
  }

  /** Closes the connections of callers that have no request in flight and no answer to send. */
  public void closeIdleConnections() {
    server.closeIdleConnections();
  }

  /** Returns whether a caller has not yet taken the whole answer to a request that ended. */
  public boolean hasUnsentAnswers() {
    return server.hasUnsentAnswers();
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return server.inFlight();
  }
}

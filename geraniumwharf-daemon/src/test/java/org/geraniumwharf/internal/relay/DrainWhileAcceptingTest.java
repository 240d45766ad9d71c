package org.geraniumwharf.internal.relay;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.ReadinessFixtures;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.weights.ReplacedWeights;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a drain that ends with an exception, and leaves its process running, because it
 * meets a connection that is just being accepted.
 */
class DrainWhileAcceptingTest {

  private static final int CALLERS = 4;
  private static final Duration DRAIN = Duration.ofSeconds(2);

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final AtomicBoolean isStopped = new AtomicBoolean();
  private final AtomicInteger connected = new AtomicInteger();
  private InetSocketAddress address;
  private Relay relay;

  @BeforeEach
  void startRelay() throws Exception {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    FleetViewHolder holder = FleetViewHolder.create();
    EventLog log = EventLog.none();
    relay =
        Relay.start(
            holder,
            ReadinessFixtures.withoutView(holder),
            null,
            KnownStores.create(log),
            new Relay.Rules("dc-1", 0.1, 10, ReplacedWeights.Bounds.DEFAULT),
            RelayLoadTable.forInstance("entry-1"),
            LoggedQuarantine.create(log),
            () -> 1,
            loops,
            address,
            Optional.empty(),
            DaemonMetrics.create(),
            log,
            Instant::now);
  }

  @AfterEach
  void stopRelay() {
    isStopped.set(true);
    var unused = loops.shutdownGracefully(0, 1, SECONDS);
  }

  @Test
  void should_drain_while_callers_keep_connecting() {
    for (int i = 0; i < CALLERS; i++) {
      DaemonThreads.start(this::connectAgainAndAgain, "caller-" + i);
    }

    Instant end = Instant.now().plus(DRAIN);
    while (Instant.now().isBefore(end)) {
      relay.closeIdleConnections();
      relay.cutRequests();
    }

    assertTrue(connected.get() > CALLERS, "only " + connected.get() + " connections");
  }

  private void connectAgainAndAgain() {
    while (!isStopped.get()) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        connected.incrementAndGet();
        var unused = socket.getInputStream().read();
      } catch (IOException e) {
        // The relay closed the connection.
      }
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}

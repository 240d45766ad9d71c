package org.geraniumwharf.internal.fleet;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.TargetWork;
import org.junit.jupiter.api.Test;

class HeartbeatSenderTest {

  private static final String SELF = "127.0.0.1:1";

  private final InstantSource clock = InstantSource.system();
  private final CountDownLatch failures = new CountDownLatch(2);

  // Guards against a heartbeat thread that ends at one failure, so that the daemon's lease lapses.
  @Test
  void should_go_on_after_a_heartbeat_that_fails() throws InterruptedException {
    Thread thread = DaemonThreads.start(sender(), "heartbeats");

    assertTrue(failures.await(5, SECONDS));

    thread.interrupt();
  }

  private HeartbeatSender sender() {
    ControlDirectory directory = ControlDirectory.ofSeeds(List.of(SELF));
    PeerNetwork network =
        PeerNetwork.create(
            SELF,
            ClusterKey.of("a key for tests only"),
            Sockets.of(Optional.empty()),
            () -> false,
            EventLog.none());
    PeerLinks links = PeerLinks.create(network, directory::address, Runnable::run, clock);
    FleetViewHolder holder = FleetViewHolder.create();
    return new HeartbeatSender(
        DaemonStatus.of(SELF, 0, "dc-1", 0, 0, false, false, ""),
        false,
        ControlClient.create(SELF, directory, links, clock),
        holder,
        Readiness.create(holder, new ControlReachability(1), Duration.ofSeconds(5)),
        TargetRegistrations.create(Duration.ofSeconds(5)),
        OrganisationLimiter.create(),
        DeploymentWork.create(),
        new FailingExchange(),
        CrashExchange.none(),
        StoreExchange.none(),
        LimitExchange.none(),
        RegionExchange.none(),
        EventLog.none(),
        clock);
  }

  private final class FailingExchange implements WorkExchange {

    @Override
    public List<TargetWork> own() {
      failures.countDown();
      throw new IllegalStateException("no work can be read");
    }

    @Override
    public void others(List<TargetWork> work, Instant now) {}
  }
}

package org.geraniumwharf.internal.daemon;

import dagger.Module;
import dagger.Provides;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.inject.Singleton;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.internal.fleet.CrashExchange;
import org.geraniumwharf.internal.fleet.DeploymentWork;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.LimitExchange;
import org.geraniumwharf.internal.fleet.OrderDelivery;
import org.geraniumwharf.internal.fleet.RegionExchange;
import org.geraniumwharf.internal.fleet.StoreExchange;
import org.geraniumwharf.internal.fleet.TargetRegistrations;
import org.geraniumwharf.internal.fleet.WorkExchange;
import org.geraniumwharf.internal.logging.EventHistory;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.internal.transport.TlsContexts;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.settings.DaemonSettings;

/** Settings, time, logs and everything that ties this daemon to the fleet. */
@Module
public final class DaemonModule {

  private final DaemonSettings settings;
  private final EventHistory log;
  private final InstantSource clock;

  private DaemonModule(DaemonSettings settings, EventHistory log, InstantSource clock) {
    this.settings = settings;
    this.log = log;
    this.clock = clock;
  }

  public static DaemonModule of(DaemonSettings settings, EventHistory log, InstantSource clock) {
    return new DaemonModule(settings, log, clock);
  }

  @Provides
  DaemonSettings settings() {
    return settings;
  }

  @Provides
  EventHistory events() {
    return log;
  }

  @Provides
  EventLog log() {
    return log;
  }

  @Provides
  InstantSource clock() {
    return clock;
  }

  @Provides
  @Singleton
  DaemonStatus identity() {
    return DaemonStatus.of(
        settings.daemon().name(),
        clock.instant().toEpochMilli(),
        settings.daemon().dataCentre(),
        0,
        0,
        false,
        false,
        settings.listen().operator());
  }

  @Provides
  @Singleton
  ExecutorService workers() {
    return Executors.newCachedThreadPool(work -> DaemonThreads.create(work, "worker"));
  }

  @Provides
  @Singleton
  LocalControl localControl() {
    return new LocalControl();
  }

  @Provides
  @Singleton
  PeerNetwork network(LocalControl localControl) {
    try {
      return PeerNetwork.create(
          settings.daemon().name(),
          ClusterKey.read(Path.of(settings.credentials().clusterKeyFile())),
          Sockets.of(TlsContexts.of(settings.tls())),
          localControl::isInitialised,
          log);
    } catch (IOException e) {
      throw new UncheckedIOException(e.getMessage(), e);
    }
  }

  @Provides
  @Singleton
  ControlDirectory directory() {
    return ControlDirectory.parse(settings.control().instances());
  }

  @Provides
  @Singleton
  PeerLinks links(PeerNetwork network, ControlDirectory directory, ExecutorService workers) {
    return PeerLinks.create(network, directory::address, workers, clock);
  }

  @Provides
  @Singleton
  ControlClient client(ControlDirectory directory, PeerLinks links) {
    return ControlClient.create(settings.daemon().name(), directory, links, clock);
  }

  @Provides
  @Singleton
  FleetViewHolder holder() {
    return FleetViewHolder.create();
  }

  @Provides
  @Singleton
  TargetRegistrations registrations() {
    return TargetRegistrations.create(Duration.ofMillis(settings.control().targetLeaseMillis()));
  }

  @Provides
  @Singleton
  DeploymentWork work() {
    return DeploymentWork.create();
  }

  @Provides
  @Singleton
  OrderDelivery orders(FleetViewHolder holder) {
    return OrderDelivery.create(holder, log);
  }

  @Provides
  @Singleton
  FleetMembership membership(
      DaemonStatus identity,
      ControlDirectory directory,
      PeerLinks links,
      ControlClient client,
      FleetViewHolder holder,
      TargetRegistrations registrations,
      OrganisationLimiter limiter,
      DeploymentWork work) {
    return FleetMembership.create(
        identity,
        settings.daemon().roles().contains("entry"),
        directory,
        links,
        client,
        holder,
        registrations,
        Duration.ofMillis(settings.control().daemonLeaseMillis()),
        limiter,
        work,
        WorkExchange.none(),
        CrashExchange.none(),
        StoreExchange.none(),
        LimitExchange.none(),
        RegionExchange.none(),
        log,
        clock);
  }
}

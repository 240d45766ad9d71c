package org.geraniumwharf.internal.daemon;

import dagger.Module;
import dagger.Provides;
import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import javax.inject.Singleton;
import org.geraniumwharf.admission.AdmissionControl;
import org.geraniumwharf.admission.OrganisationLimiter;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.internal.caller.CallerEdge;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.fleet.DeploymentWork;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.OrderDelivery;
import org.geraniumwharf.internal.fleet.TargetRegistrations;
import org.geraniumwharf.internal.logging.EventHistory;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.operator.OperatorEdge;
import org.geraniumwharf.internal.serving.AdmissionGate;
import org.geraniumwharf.internal.serving.CacheEventPoller;
import org.geraniumwharf.internal.serving.CompletionDispatcher;
import org.geraniumwharf.internal.serving.DecisionHistory;
import org.geraniumwharf.internal.serving.EngineSelection;
import org.geraniumwharf.internal.serving.KeptCache;
import org.geraniumwharf.internal.serving.RetryPolicy;
import org.geraniumwharf.internal.serving.RunGuard;
import org.geraniumwharf.internal.serving.RunRecorder;
import org.geraniumwharf.internal.serving.ServiceDispatcher;
import org.geraniumwharf.internal.serving.StreamDispatcher;
import org.geraniumwharf.internal.serving.TargetChooser;
import org.geraniumwharf.internal.target.HttpCacheClient;
import org.geraniumwharf.internal.target.HttpTargetClient;
import org.geraniumwharf.keptcache.ExportPolicy;
import org.geraniumwharf.keptcache.LinkTable;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.routing.EstimatedTimePolicy;
import org.geraniumwharf.routing.HashOnlyPolicy;
import org.geraniumwharf.routing.LeastInFlightPolicy;
import org.geraniumwharf.routing.RoundRobinPolicy;
import org.geraniumwharf.routing.RoutingPolicy;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.settings.DaemonSettings;

/** Everything that a request passes through. */
@Module
final class ServingModule {

  private static final int KEPT_CONTEXTS = 16_384;
  private static final int CACHE_HINTS_PER_TARGET = 16_384;

  private ServingModule() {}

  @Provides
  @Singleton
  static DaemonMetrics metrics() {
    return DaemonMetrics.create();
  }

  @Provides
  @Singleton
  static OrganisationLimiter limiter() {
    return OrganisationLimiter.create();
  }

  @Provides
  @Singleton
  static AdmissionGate gate(
      DaemonSettings settings, OrganisationLimiter limiter, InstantSource clock) {
    AdmissionControl control =
        AdmissionControl.of(settings.limits().maxInFlight(), settings.limits().maxQueued());
    return AdmissionGate.create(control, limiter, clock);
  }

  @Provides
  @Singleton
  static TargetLoadTable load(DaemonSettings settings) {
    return TargetLoadTable.create(settings.limits().maxNewTargetFailures(), CACHE_HINTS_PER_TARGET);
  }

  @Provides
  @Singleton
  static DecisionHistory history() {
    return DecisionHistory.create();
  }

  @Provides
  @Singleton
  static TargetChooser chooser(
      TargetLoadTable load,
      DecisionHistory history,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    return TargetChooser.create(load, history, metrics, log, clock);
  }

  @Provides
  @Singleton
  static HttpTargetClient targets() {
    return HttpTargetClient.create();
  }

  @Provides
  @Singleton
  static LinkTable links() {
    return LinkTable.create();
  }

  @Provides
  @Singleton
  static HttpCacheClient caches() {
    return HttpCacheClient.create();
  }

  @Provides
  @Singleton
  static CacheEventPoller cacheEvents(
      FleetViewHolder fleet,
      HttpCacheClient client,
      TargetLoadTable load,
      ExecutorService workers,
      EventLog log) {
    return CacheEventPoller.create(fleet, client, load, workers, log);
  }

  @Provides
  @Singleton
  static KeptCache kept(
      DaemonSettings settings,
      FleetViewHolder fleet,
      HttpCacheClient client,
      LinkTable links,
      EventLog log,
      InstantSource clock) {
    return KeptCache.create(
        settings.routing().keptCache(),
        fleet,
        client,
        client,
        links,
        ExportPolicy.create(KEPT_CONTEXTS),
        log,
        clock);
  }

  @Provides
  @Singleton
  static RunRecorder recorder(ControlClient control, EventLog log, InstantSource clock) {
    return RunRecorder.create(control, log, clock);
  }

  @Provides
  @Singleton
  static RunGuard runs(
      DaemonSettings settings,
      DaemonStatus identity,
      ControlClient control,
      RunRecorder recorder,
      EventLog log,
      InstantSource clock) {
    return RunGuard.create(
        identity.name(),
        identity.incarnation(),
        settings.control().maxStoredAnswerBytes(),
        control,
        recorder,
        log,
        clock);
  }

  @Provides
  @Singleton
  static RetryPolicy retries(DaemonMetrics metrics, EventLog log) {
    return RetryPolicy.create(metrics, log);
  }

  @Provides
  @Singleton
  static EngineSelection selection(
      DaemonSettings settings,
      TargetChooser chooser,
      KeptCache kept,
      TargetLoadTable load,
      FleetViewHolder fleet,
      InstantSource clock) {
    return EngineSelection.create(
        chooser, policy(settings.routing().policy()), kept, load, fleet, clock);
  }

  @Provides
  @Singleton
  static StreamDispatcher streams(
      EngineSelection selection,
      HttpTargetClient targets,
      KeptCache kept,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      ExecutorService workers,
      InstantSource clock) {
    return StreamDispatcher.create(
        selection, targets, kept, retries, load, metrics, workers, clock);
  }

  @Provides
  @Singleton
  static CompletionDispatcher completions(
      DeploymentWork work,
      AdmissionGate gate,
      EngineSelection selection,
      StreamDispatcher streams,
      HttpTargetClient targets,
      KeptCache kept,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      InstantSource clock) {
    return CompletionDispatcher.create(
        work, gate, selection, streams, targets, kept, runs, retries, load, metrics, clock);
  }

  private static RoutingPolicy policy(String name) {
    return switch (name) {
      case "round-robin" -> RoundRobinPolicy.create();
      case "least-in-flight" -> LeastInFlightPolicy.create();
      case "hash-only" -> HashOnlyPolicy.create();
      default -> EstimatedTimePolicy.create(new SplittableRandom());
    };
  }

  @Provides
  @Singleton
  static ServiceDispatcher services(
      AdmissionGate gate,
      TargetChooser chooser,
      HttpTargetClient targets,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      FleetViewHolder fleet,
      DaemonMetrics metrics,
      InstantSource clock) {
    return ServiceDispatcher.create(
        gate,
        chooser,
        RoundRobinPolicy.create(),
        targets,
        runs,
        retries,
        load,
        fleet,
        metrics,
        clock);
  }

  @Provides
  @Singleton
  static CallerEdge callerEdge(
      DaemonSettings settings,
      FleetViewHolder fleet,
      FleetMembership membership,
      TargetRegistrations registrations,
      OrderDelivery orders,
      CompletionDispatcher completions,
      ServiceDispatcher services,
      DecisionHistory history,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    return CallerEdge.create(
        fleet,
        membership,
        registrations,
        orders,
        completions,
        services,
        history,
        metrics,
        SecretHash.parse(settings.credentials().targetKeyHash()),
        settings.limits(),
        log,
        clock);
  }

  @Provides
  @Singleton
  static OperatorEdge operatorEdge(
      DaemonSettings settings,
      FleetViewHolder fleet,
      FleetMembership membership,
      ControlClient control,
      DecisionHistory history,
      EventHistory events,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    return OperatorEdge.create(
        settings.daemon().name(),
        fleet,
        membership,
        control,
        history,
        events,
        metrics,
        SecretHash.parse(settings.credentials().operatorKeyHash()),
        log,
        clock);
  }
}

package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTable;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.RetryAfter;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.objects.RouteSplit;

/** Resolves the route, organisation and service of a request against the newest view. */
final class RelayAdmission {

  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(300);

  /**
   * Requests reach an instance that refuses only where most instances of its data centre are
   * unready, and it takes seconds until one of them has been restarted.
   */
  private static final Duration LEAVING_RETRY_AFTER = Duration.ofSeconds(1);

  /** Time over which the callers return that were refused before the first confirmed view. */
  private static final Duration START_SPREAD = Duration.ofMillis(100);

  private static final Duration UNBOUNDED = Duration.ofDays(1);

  private final FleetViewHolder holder;
  private final Readiness readiness;
  private final EventLog log;
  private volatile RoutingSnapshot routing;

  private RelayAdmission(FleetViewHolder holder, Readiness readiness, EventLog log) {
    this.holder = holder;
    this.readiness = readiness;
    this.log = log;
    this.routing = RoutingSnapshot.of(holder.current(), Optional.empty());
    routing.unusableIds().forEach(this::logUnusable);
    holder.onChange((before, after) -> replaceRouting(after));
  }

  static RelayAdmission create(FleetViewHolder holder, Readiness readiness, EventLog log) {
    return new RelayAdmission(holder, readiness, log);
  }

  private void replaceRouting(FleetSnapshot view) {
    Set<String> loggedIds = routing.unusableIds();
    routing = RoutingSnapshot.of(view, Optional.of(routing));
    routing.unusableIds().stream().filter(id -> !loggedIds.contains(id)).forEach(this::logUnusable);
  }

  private void logUnusable(String id) {
    log.warn(
        Event.of("target-unusable")
            .with("target", id)
            .with("cause", "the announced address or version is missing or cannot be read"));
  }

  RoutingSnapshot routing() {
    return routing;
  }

  /** Returns the time since the view was last confirmed; empty if it never was. */
  Optional<Duration> sinceViewConfirmed(Instant now) {
    return holder.sinceConfirmed(now);
  }

  /**
   * Checks that this instance may take requests now.
   *
   * @throws ServingException if the request must be rejected; no target has executed it
   */
  void checkReady(RelayRequest request, Instant now) throws ServingException {
    try {
      readiness.check(now);
      if (routing.view().configuration().version() == 0) {
        throw ServingErrors.notReady("no configuration was published yet");
      }
    } catch (ServingException e) {
      Duration expected = readiness.isLeaving() ? LEAVING_RETRY_AFTER : NOT_READY_RETRY_AFTER;
      Duration remaining = request.callerTimeout().orElse(expected);
      throw e.withRetryAfter(RetryAfter.jitteredDelay(request.id(), expected, remaining));
    }
  }

  /** Returns whether this process has not had a confirmed view since its start. */
  boolean isAwaitingFirstView(Instant now) {
    return readiness.isAwaitingFirstView(now);
  }

  /** Adds the time after which service is expected, spread a little so as not to come at once. */
  ServingException withExpectedStart(
      ServingException notReady, RelayRequest request, Duration expectedWait) {
    Duration spread = RetryAfter.jitteredDelay(request.id(), START_SPREAD, UNBOUNDED);
    return notReady.withRetryAfter(expectedWait.plus(spread));
  }

  /**
   * Resolves a request against the configuration of a snapshot.
   *
   * @throws ServingException if the request must be rejected; no target has executed it
   */
  static ResolvedRequest resolve(RelayRequest request, RoutingSnapshot decidedBy)
      throws ServingException {
    RelayTable table = decidedBy.table();
    RelayRoute route =
        table
            .route(request.host(), request.path())
            .orElseThrow(() -> ServingErrors.notFound(request.path()));
    Optional<Organisation> organisation = authenticate(table, route, request);
    RelayService service = table.service(chooseService(route, request.id())).orElseThrow();
    return new ResolvedRequest(
        request,
        route,
        service,
        organisation,
        table.sharing(),
        request.deadline(route.timeoutMillis()));
  }

  private static Optional<Organisation> authenticate(
      RelayTable table, RelayRoute route, RelayRequest request) throws ServingException {
    Optional<Organisation> organisation =
        request.key().isPresent() ? table.organisation(request.key().get()) : Optional.empty();
    if (organisation.isEmpty() && !route.open()) {
      throw ServingErrors.unauthenticated("the key is missing or unknown");
    }
    return organisation;
  }

  /** Splits traffic by a hash of the request id, so that the weights need no shared state. */
  private static String chooseService(RelayRoute route, String requestId) {
    if (route.splits().size() == 1) {
      return route.splits().get(0).service();
    }
    long totalWeight = route.splits().stream().mapToLong(RouteSplit::weight).sum();
    double position = RendezvousHash.fraction(RendezvousHash.keyOf(requestId)) * totalWeight;
    long cumulativeWeight = 0;
    for (RouteSplit split : route.splits()) {
      cumulativeWeight += split.weight();
      if (position < cumulativeWeight) {
        return split.service();
      }
    }
    return route.splits().get(0).service();
  }
}

package org.geraniumwharf.internal.caller;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.OrderDelivery;
import org.geraniumwharf.internal.fleet.TargetRegistrations;
import org.geraniumwharf.internal.fleet.TargetUrls;
import org.geraniumwharf.internal.http.BearerTokens;
import org.geraniumwharf.internal.http.ErrorAnswers;
import org.geraniumwharf.internal.http.ErrorBodies;
import org.geraniumwharf.internal.http.HttpEdge;
import org.geraniumwharf.internal.http.ReadinessPage;
import org.geraniumwharf.internal.http.RequestAttributes;
import org.geraniumwharf.internal.http.RequestBodies;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.serving.CallerDisconnectedException;
import org.geraniumwharf.internal.serving.CompletionDispatcher;
import org.geraniumwharf.internal.serving.CompletionKind;
import org.geraniumwharf.internal.serving.CompletionRequest;
import org.geraniumwharf.internal.serving.DecisionHistory;
import org.geraniumwharf.internal.serving.RequestContext;
import org.geraniumwharf.internal.serving.RequestIds;
import org.geraniumwharf.internal.serving.ServiceDispatcher;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.callers.ModelEntry;
import org.geraniumwharf.schema.callers.ModelList;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.settings.LimitSettings;
import org.geraniumwharf.schema.targets.Announcement;

/** HTTP routes for callers and announcing targets. */
public final class CallerEdge {

  private static final int SPARE_THREADS = 32;
  private static final int MAX_ANNOUNCEMENT_BYTES = 256 << 10;
  private static final String JSON = "application/json";

  private final FleetViewHolder fleet;
  private final FleetMembership membership;
  private final TargetRegistrations registrations;
  private final OrderDelivery orders;
  private final CompletionDispatcher completions;
  private final ServiceDispatcher services;
  private final DecisionHistory history;
  private final DaemonMetrics metrics;
  private final SecretHash targetKey;
  private final LimitSettings limits;
  private final EventLog log;
  private final InstantSource clock;
  private final ErrorAnswers errors;

  private CallerEdge(
      FleetViewHolder fleet,
      FleetMembership membership,
      TargetRegistrations registrations,
      OrderDelivery orders,
      CompletionDispatcher completions,
      ServiceDispatcher services,
      DecisionHistory history,
      DaemonMetrics metrics,
      SecretHash targetKey,
      LimitSettings limits,
      EventLog log,
      InstantSource clock) {
    this.fleet = fleet;
    this.membership = membership;
    this.registrations = registrations;
    this.orders = orders;
    this.completions = completions;
    this.services = services;
    this.history = history;
    this.metrics = metrics;
    this.targetKey = targetKey;
    this.limits = limits;
    this.log = log;
    this.clock = clock;
    this.errors = ErrorAnswers.of(limits.maxHeaderBytes(), log);
  }

  public static CallerEdge create(
      FleetViewHolder fleet,
      FleetMembership membership,
      TargetRegistrations registrations,
      OrderDelivery orders,
      CompletionDispatcher completions,
      ServiceDispatcher services,
      DecisionHistory history,
      DaemonMetrics metrics,
      SecretHash targetKey,
      LimitSettings limits,
      EventLog log,
      InstantSource clock) {
    return new CallerEdge(
        fleet,
        membership,
        registrations,
        orders,
        completions,
        services,
        history,
        metrics,
        targetKey,
        limits,
        log,
        clock);
  }

  /** Starts to listen. */
  public Javalin start(InetSocketAddress address) {
    HttpEdge.Bounds bounds =
        new HttpEdge.Bounds(
            limits.maxInFlight() + limits.maxQueued() + SPARE_THREADS,
            limits.maxConnections(),
            limits.maxHeaderBytes());
    return HttpEdge.start("entry", address, bounds, errors, this::addRoutes);
  }

  private void addRoutes(JavalinConfig config) {
    config.routes.get("/healthz", context -> context.result("ok\n"));
    config.routes.get("/readyz", this::readiness);
    config.routes.get("/metrics", context -> context.result(metrics.prometheusText()));
    config.routes.get("/v1/models", this::models);
    config.routes.post("/v1/targets/announce", this::announce);
    for (CompletionKind kind : CompletionKind.values()) {
      config.routes.post(
          kind.path(), context -> handle(context, request -> complete(context, request, kind)));
    }
    config.routes.post(
        "/services/{route}", context -> handle(context, request -> callService(context, request)));
    config.routes.post(
        "/services/{route}/<path>",
        context -> handle(context, request -> callService(context, request)));
  }

  private void readiness(Context context) {
    ReadinessPage.answer(context, membership.readiness().isReady(clock.instant()));
  }

  private void announce(Context context) throws ServingException {
    BearerTokens.check(context, targetKey);
    Announcement announcement =
        RequestBodies.read(context, MAX_ANNOUNCEMENT_BYTES, Announcement.class);
    if (!TargetUrls.isCallable(announcement)) {
      throw ServingErrors.invalidField("address", "must be a base URL that can be called");
    }
    Instant now = clock.instant();
    boolean isAccepted = registrations.accept(announcement, now);
    if (isAccepted && !fleet.current().shows(announcement, now)) {
      log.info(
          Event.of("announcement")
              .with("target", announcement.id())
              .with("incarnation", announcement.incarnation())
              .with("sequence", announcement.sequence())
              .with("leaving", announcement.leaving()));
      membership.changed();
    }
    context.contentType(JSON);
    context.result(Codec.json().encode(orders.answer(announcement, isAccepted, clock.instant())));
  }

  private void models(Context context) throws ServingException {
    membership.readiness().check(clock.instant());
    FleetSnapshot view = fleet.current();
    Organisation organisation = CallerAuthenticator.authenticate(context, view.configuration());
    List<ModelEntry> entries =
        organisation.routes().stream()
            .map(view.configuration()::route)
            .flatMap(Optional::stream)
            .filter(route -> route.deployment().isPresent())
            .map(route -> ModelEntry.of(route.name(), "model", 0, organisation.name()))
            .toList();
    context.contentType(JSON);
    context.result(Codec.json().encode(ModelList.of("list", entries)));
  }

  /** Handles one accepted request and returns the name of its route. */
  private interface Handler {
    String handle(String requestId) throws ServingException, CallerDisconnectedException;
  }

  private void handle(Context context, Handler handler) {
    Instant start = clock.instant();
    String requestId = RequestIds.newRequestId();
    context.attribute(RequestAttributes.REQUEST_ID, requestId);
    context.header("X-Request-Id", requestId);
    metrics.requestArrived();
    String outcome = "answered";
    String route = "";
    try {
      membership.readiness().check(start);
      route = handler.handle(requestId);
    } catch (ServingException e) {
      outcome = e.kind().wireName();
      metrics.requestFailed(e.kind());
      fail(context, requestId, e);
    } catch (CallerDisconnectedException e) {
      outcome = "caller-gone";
    }
    Duration duration = Duration.between(start, clock.instant());
    metrics.requestEnded(duration);
    history.recordOutcome(requestId, outcome);
    log.info(
        Event.of("request")
            .with("request", requestId)
            .with("route", route)
            .with("outcome", outcome)
            .with("status", context.status().getCode())
            .with("millis", duration.toMillis()));
  }

  /** After the first event the status is gone, so the error is sent as an event of its own. */
  private void fail(Context context, String requestId, ServingException error) {
    errors.write(context, requestId, error);
    if (!context.res().isCommitted()) {
      return;
    }
    try {
      byte[] body = ErrorBodies.encode(requestId, error);
      new HttpAnswerSink(context).append(body);
    } catch (IOException e) {
      log.info(Event.of("caller-gone").with("request", requestId));
    }
  }

  private String complete(Context context, String requestId, CompletionKind kind)
      throws ServingException, CallerDisconnectedException {
    FleetSnapshot view = fleet.current();
    Organisation organisation = CallerAuthenticator.authenticate(context, view.configuration());
    byte[] body = RequestBodies.read(context, limits.maxBodyBytes());
    CompletionRequest completion = CompletionParser.parse(kind, body);
    Route route = CallerAuthenticator.route(completion.model(), organisation, view.configuration());
    RequestContext request =
        RequestContext.of(requestId, organisation, route, view, clock.instant());
    completions.serve(request, completion, idempotencyKey(context), new HttpAnswerSink(context));
    return route.name();
  }

  private String callService(Context context, String requestId)
      throws ServingException, CallerDisconnectedException {
    FleetSnapshot view = fleet.current();
    Organisation organisation = CallerAuthenticator.authenticate(context, view.configuration());
    Route route =
        CallerAuthenticator.route(context.pathParam("route"), organisation, view.configuration());
    byte[] body = RequestBodies.read(context, limits.maxBodyBytes());
    RequestContext request =
        RequestContext.of(requestId, organisation, route, view, clock.instant());
    services.serve(
        request,
        ServiceDispatcher.ServiceRequest.of(
            servicePath(context, route), contentType(context), body),
        idempotencyKey(context),
        new HttpAnswerSink(context));
    return route.name();
  }

  private static String servicePath(Context context, Route route) {
    String below = context.req().getRequestURI().substring(("/services/" + route.name()).length());
    String query = context.queryString();
    String path = below.isEmpty() ? "/" : below;
    return query == null ? path : path + "?" + query;
  }

  private static String contentType(Context context) {
    return Optional.ofNullable(context.contentType()).orElse(JSON);
  }

  private static Optional<String> idempotencyKey(Context context) {
    return Optional.ofNullable(context.header("Idempotency-Key"));
  }
}

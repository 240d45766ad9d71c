package org.geraniumwharf.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.configuration.ObjectSetReader;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.http.BearerTokens;
import org.geraniumwharf.internal.http.ErrorAnswers;
import org.geraniumwharf.internal.http.HttpEdge;
import org.geraniumwharf.internal.http.ReadinessPage;
import org.geraniumwharf.internal.http.RequestBodies;
import org.geraniumwharf.internal.logging.EventHistory;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.serving.DecisionHistory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.placement.PlacementSnapshot;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.ChangeVotersAnswer;
import org.geraniumwharf.schema.messages.ChangeVotersCall;
import org.geraniumwharf.schema.messages.ExplainPlacementAnswer;
import org.geraniumwharf.schema.messages.ExplainPlacementCall;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.StatusAnswer;
import org.geraniumwharf.schema.messages.StatusCall;
import org.geraniumwharf.schema.messages.SteerRolloutAnswer;
import org.geraniumwharf.schema.messages.SteerRolloutCall;
import org.geraniumwharf.schema.operators.ConfigurationAnswer;
import org.geraniumwharf.schema.operators.DeploymentRollout;
import org.geraniumwharf.schema.operators.EventsAnswer;
import org.geraniumwharf.schema.operators.ExplainAnswer;
import org.geraniumwharf.schema.operators.RolloutsAnswer;
import org.geraniumwharf.schema.operators.SteerRolloutRequest;
import org.geraniumwharf.schema.operators.TargetsAnswer;

/** HTTP routes for operators. */
public final class OperatorEdge {

  private static final HttpEdge.Bounds BOUNDS = new HttpEdge.Bounds(32, 256, 16 << 10);
  private static final int MAX_SET_BYTES = 64 << 20;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;

  private final String daemon;
  private final FleetViewHolder fleet;
  private final FleetMembership membership;
  private final ControlClient control;
  private final DecisionHistory history;
  private final EventHistory events;
  private final DaemonMetrics metrics;
  private final SecretHash operatorKey;
  private final EventLog log;
  private final InstantSource clock;

  private OperatorEdge(
      String daemon,
      FleetViewHolder fleet,
      FleetMembership membership,
      ControlClient control,
      DecisionHistory history,
      EventHistory events,
      DaemonMetrics metrics,
      SecretHash operatorKey,
      EventLog log,
      InstantSource clock) {
    this.daemon = daemon;
    this.fleet = fleet;
    this.membership = membership;
    this.control = control;
    this.history = history;
    this.events = events;
    this.metrics = metrics;
    this.operatorKey = operatorKey;
    this.log = log;
    this.clock = clock;
  }

  public static OperatorEdge create(
      String daemon,
      FleetViewHolder fleet,
      FleetMembership membership,
      ControlClient control,
      DecisionHistory history,
      EventHistory events,
      DaemonMetrics metrics,
      SecretHash operatorKey,
      EventLog log,
      InstantSource clock) {
    return new OperatorEdge(
        daemon, fleet, membership, control, history, events, metrics, operatorKey, log, clock);
  }

  /** Starts to listen. */
  public Javalin start(InetSocketAddress address) {
    ErrorAnswers errors = ErrorAnswers.of(BOUNDS.headerBytes(), log);
    return HttpEdge.start("operator", address, BOUNDS, errors, this::addRoutes);
  }

  private void addRoutes(JavalinConfig config) {
    config.routes.get("/healthz", context -> context.result("ok\n"));
    config.routes.get("/readyz", this::readiness);
    config.routes.get("/metrics", context -> context.result(metrics.prometheusText()));
    config.routes.get("/v1/configuration", authenticated(this::configuration));
    config.routes.post("/v1/configuration", authenticated(this::publish));
    config.routes.get("/v1/status", authenticated(this::status));
    config.routes.get("/v1/targets", authenticated(this::targets));
    config.routes.get("/v1/explain/{request}", authenticated(this::explain));
    config.routes.get("/v1/events", authenticated(this::fleetEvents));
    config.routes.get("/v1/events/{request}", authenticated(this::requestEvents));
    config.routes.post("/v1/control/voters", authenticated(this::changeVoters));
    config.routes.get("/v1/rollouts", authenticated(this::rollouts));
    config.routes.post("/v1/rollouts/{deployment}", authenticated(this::steerRollout));
    config.routes.get("/v1/placement/{target}", authenticated(this::explainPlacement));
  }

  private Handler authenticated(Handler handler) {
    return context -> {
      BearerTokens.check(context, operatorKey);
      handler.handle(context);
    };
  }

  private void readiness(Context context) {
    ReadinessPage.answer(context, membership.readiness().isReady(clock.instant()));
  }

  private void configuration(Context context) {
    FleetSnapshot view = fleet.current();
    answer(
        context,
        ConfigurationAnswer.of(view.configuration().version(), view.configuration().objects()));
  }

  /** Objects are read one by one, so that every fault of the set is told at once. */
  private void publish(Context context) throws ServingException {
    JsonNode body = RequestBodies.parse(RequestBodies.read(context, MAX_SET_BYTES));
    PublishFields fields = PublishFields.of(body);
    ObjectSetReader reader = ObjectSetReader.create();
    reader.add("", body.path("objects"));
    List<ConfigurationFault> faults = reader.faults();
    if (!faults.isEmpty()) {
      answerRejected(context, faults.stream().map(ConfigurationFault::toString).toList());
      return;
    }
    PublishAnswer answer =
        control.call(
            PublishCall.of(
                fields.publishId(),
                fields.operator(),
                fields.baseVersion(),
                reader.objects(),
                Optional.empty(),
                Optional.empty()),
            PublishAnswer.class,
            clock.instant().plus(CALL_TIMEOUT));
    log.info(
        Event.of("publish")
            .with("publishId", fields.publishId())
            .with("operator", fields.operator())
            .with("baseVersion", fields.baseVersion())
            .with("outcome", answer.outcome())
            .with("version", answer.version()));
    if (answer.outcome() == PublishOutcome.CONFLICT) {
      context.status(CONFLICT);
    } else if (answer.outcome() == PublishOutcome.REJECTED) {
      context.status(UNPROCESSABLE);
    }
    answer(context, answer);
  }

  private void answerRejected(Context context, List<String> faults) {
    context.status(UNPROCESSABLE);
    answer(
        context,
        PublishAnswer.of(
            PublishOutcome.REJECTED,
            fleet.current().configuration().version(),
            Optional.empty(),
            faults));
  }

  /** Fields of a publication beside its objects. */
  private record PublishFields(String publishId, String operator, long baseVersion) {

    static PublishFields of(JsonNode body) throws ServingException {
      if (!(body instanceof ObjectNode) || !body.path("objects").isArray()) {
        throw ServingErrors.invalidField("objects", "objects must be an array");
      }
      if (!body.path("baseVersion").canConvertToLong() || body.path("baseVersion").asLong() < 0) {
        throw ServingErrors.invalidField("baseVersion", "baseVersion must be a whole number");
      }
      String publishId = body.path("publishId").asText("");
      if (publishId.isBlank()) {
        throw ServingErrors.invalidField(
            "publishId", "publishId must be a string that is not empty");
      }
      return new PublishFields(
          publishId, body.path("operator").asText("operator"), body.path("baseVersion").asLong());
    }
  }

  private void status(Context context) throws ServingException {
    answer(
        context,
        control.call(
            StatusCall.of(daemon), StatusAnswer.class, clock.instant().plus(CALL_TIMEOUT)));
  }

  private void targets(Context context) {
    FleetSnapshot view = fleet.current();
    answer(context, TargetsAnswer.of(view.index(), new ArrayList<>(view.targets())));
  }

  private void explain(Context context) {
    String request = context.pathParam("request");
    answer(
        context,
        ExplainAnswer.of(request, daemon, history.decisions(request), history.outcome(request)));
  }

  private void fleetEvents(Context context) throws ServingException {
    Instant since = since(context.queryParam("since"));
    answer(context, EventsAnswer.of(daemon, events.ofFleet(since), events.isComplete(since)));
  }

  private static Instant since(String millis) throws ServingException {
    try {
      return Instant.ofEpochMilli(Long.parseLong(millis));
    } catch (NumberFormatException e) {
      throw ServingErrors.invalidField("since", "since must be a time in ms since the epoch");
    }
  }

  private void requestEvents(Context context) {
    answer(context, EventsAnswer.of(daemon, events.ofRequest(context.pathParam("request")), true));
  }

  private void changeVoters(Context context) throws ServingException {
    ChangeVotersCall call = RequestBodies.read(context, MAX_SET_BYTES, ChangeVotersCall.class);
    answer(
        context, control.call(call, ChangeVotersAnswer.class, clock.instant().plus(CALL_TIMEOUT)));
  }

  private void rollouts(Context context) {
    FleetSnapshot view = fleet.current();
    PlacementSnapshot board = view.placement();
    List<DeploymentRollout> deployments =
        view.configuration().deployments().stream()
            .map(
                deployment ->
                    DeploymentRollout.of(
                        deployment.name(),
                        board.wantedVersion(deployment),
                        view.rollout(deployment.name()),
                        board.servingCount(deployment),
                        board.holdingCount(deployment),
                        board.orderedCount(deployment)))
            .toList();
    answer(context, RolloutsAnswer.of(view.index(), deployments));
  }

  private void steerRollout(Context context) throws ServingException {
    SteerRolloutRequest request =
        RequestBodies.read(context, MAX_SET_BYTES, SteerRolloutRequest.class);
    SteerRolloutAnswer answer =
        control.call(
            SteerRolloutCall.of(
                context.pathParam("deployment"), request.action(), request.operator()),
            SteerRolloutAnswer.class,
            clock.instant().plus(CALL_TIMEOUT));
    log.info(
        Event.of("rollout-steered")
            .with("deployment", context.pathParam("deployment"))
            .with("action", request.action())
            .with("operator", request.operator())
            .with("done", answer.done())
            .with("message", answer.message()));
    if (!answer.done()) {
      context.status(CONFLICT);
    }
    answer(context, answer);
  }

  private void explainPlacement(Context context) throws ServingException {
    answer(
        context,
        control.call(
            ExplainPlacementCall.of(context.pathParam("target")),
            ExplainPlacementAnswer.class,
            clock.instant().plus(CALL_TIMEOUT)));
  }

  private static void answer(Context context, Object value) {
    context.contentType("application/json");
    context.result(Codec.json().encode(value));
  }
}

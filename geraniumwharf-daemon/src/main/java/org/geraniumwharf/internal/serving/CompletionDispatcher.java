package org.geraniumwharf.internal.serving;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.DeploymentWork;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.EngineClient;
import org.geraniumwharf.internal.target.TargetAnswer;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetRejection;
import org.geraniumwharf.internal.target.TargetRequest;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.Codec;

/**
 * Admits a generation request and dispatches it to an engine: streamed, as a whole answer, or as a
 * whole answer that runs at most once.
 */
public final class CompletionDispatcher {

  private static final String JSON = "application/json";

  private final DeploymentWork work;
  private final AdmissionGate gate;
  private final EngineSelection selection;
  private final StreamDispatcher streams;
  private final EngineClient engines;
  private final KeptCache kept;
  private final RunGuard runs;
  private final RetryPolicy retries;
  private final TargetLoadTable load;
  private final DaemonMetrics metrics;
  private final InstantSource clock;

  private CompletionDispatcher(
      DeploymentWork work,
      AdmissionGate gate,
      EngineSelection selection,
      StreamDispatcher streams,
      EngineClient engines,
      KeptCache kept,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      InstantSource clock) {
    this.work = work;
    this.gate = gate;
    this.selection = selection;
    this.streams = streams;
    this.engines = engines;
    this.kept = kept;
    this.runs = runs;
    this.retries = retries;
    this.load = load;
    this.metrics = metrics;
    this.clock = clock;
  }

  public static CompletionDispatcher create(
      DeploymentWork work,
      AdmissionGate gate,
      EngineSelection selection,
      StreamDispatcher streams,
      EngineClient engines,
      KeptCache kept,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      InstantSource clock) {
    return new CompletionDispatcher(
        work, gate, selection, streams, engines, kept, runs, retries, load, metrics, clock);
  }

  /**
   * Serves one request; blocks until the answer is sent.
   *
   * @param idempotencyKey key set by the caller; required if the route is not idempotent
   * @throws ServingException if the answer cannot be completed
   * @throws CallerDisconnectedException if the caller disconnected; the attempt is cancelled
   */
  public void serve(
      RequestContext request,
      CompletionRequest completion,
      Optional<String> idempotencyKey,
      AnswerSink sink)
      throws ServingException, CallerDisconnectedException {
    GenerationPlan plan = GenerationPlan.of(request, completion);
    try (DeploymentWork.Handle counted = work.begin(request.route().deployment().orElse(""));
        AdmissionGate.Permit permit = gate.acquire(request, plan.costTokens())) {
      retries.recordFirstAttempt(request);
      kept.recordRequest(plan);
      if (!request.route().idempotent()) {
        TargetAnswer answer = runOnce(request, completion, plan, idempotencyKey);
        StreamDispatcher.sendWhole(answer, sink);
      } else if (completion.isStream()) {
        streams.serve(request, completion, plan, sink);
      } else {
        StreamDispatcher.sendWhole(generate(request, completion, plan), sink);
      }
    }
  }

  private TargetAnswer runOnce(
      RequestContext request,
      CompletionRequest completion,
      GenerationPlan plan,
      Optional<String> idempotencyKey)
      throws ServingException {
    String route = request.route().name();
    if (completion.isStream()) {
      throw ServingErrors.invalidField(
          "stream", "route " + route + " is not idempotent and cannot stream");
    }
    String key = idempotencyKey.orElseThrow(() -> ServingErrors.idempotencyKeyRequired(route));
    byte[] content = Codec.json().encode(completion.body());
    return runs.run(request, key, content, () -> generate(request, completion, plan));
  }

  private TargetAnswer generate(
      RequestContext request, CompletionRequest completion, GenerationPlan planned)
      throws ServingException {
    Set<String> excluded = new HashSet<>();
    GenerationPlan plan = planned;
    for (int attempts = 1; ; attempts++) {
      plan = selection.updatedPlan(plan);
      TargetChooser.Choice choice = selection.choose(request, plan, excluded);
      try (AttemptTracker tracker = AttemptTracker.start(load, metrics, clock, choice)) {
        return generateOnce(request, completion, plan, choice, tracker);
      } catch (TargetCallException e) {
        excluded.add(e.target());
        retries.awaitRetry(request, attempts, request.route().idempotent(), e, clock.instant());
      }
    }
  }

  private TargetAnswer generateOnce(
      RequestContext request,
      CompletionRequest completion,
      GenerationPlan plan,
      TargetChooser.Choice choice,
      AttemptTracker tracker)
      throws TargetCallException {
    TargetRequest call =
        TargetRequest.of(
            choice.target(),
            completion.kind().path(),
            choice.attempt(),
            Map.of(),
            plan.encodeBody(choice.attempt(), 0, ""),
            JSON,
            request.timeLeft(clock.instant()));
    try {
      TargetAnswer answer = engines.generate(call);
      tracker.recordCachedContext(plan.pieces());
      tracker.recordLoadReport(answer.load());
      tracker.recordSuccess();
      kept.exportLater(choice.target(), plan);
      return withCallerNames(answer, request, choice);
    } catch (TargetRejection e) {
      tracker.recordSuccess();
      return e.answer();
    } catch (TargetCallException e) {
      tracker.recordFailure();
      throw e;
    }
  }

  /** Replaces the id and model in the answer by the request id and route that the caller uses. */
  private static TargetAnswer withCallerNames(
      TargetAnswer answer, RequestContext request, TargetChooser.Choice choice)
      throws TargetCallException {
    try {
      if (Codec.json().parse(answer.body()) instanceof ObjectNode body) {
        body.remove("geraniumwharf");
        body.put("id", "chatcmpl-" + request.id());
        body.put("model", request.route().name());
        return answer.withBody(Codec.json().encode(body));
      }
    } catch (IOException e) {
      throw TargetCallException.unclear(choice.target().id(), "its answer is not JSON");
    }
    throw TargetCallException.unclear(choice.target().id(), "its answer is not an object");
  }
}

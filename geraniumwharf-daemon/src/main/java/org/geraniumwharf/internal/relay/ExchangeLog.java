package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.PromptPart;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.schema.state.NamedWeights;

/** Log events of a relayed request: each choice of a target, and the end of the request. */
final class ExchangeLog {

  private static final long NEVER = -1;
  private static final String NONE = "none";

  private ExchangeLog() {}

  /**
   * View by which a request was admitted or refused.
   *
   * @param version version of the configuration
   * @param index index of the view
   * @param sinceConfirmed time since the view was last confirmed then; empty if it never was
   */
  record DecidedBy(long version, long index, Optional<Duration> sinceConfirmed) {}

  /**
   * What the target that the request was last sent to gave as an answer.
   *
   * @param status status of its response; empty if no head of it came
   * @param receipt receipt of the response
   * @param earlierResponses responses that the connection had carried when the request was sent
   * @param connectionAge age of the connection then
   * @param connectionPort port of the connection on this side
   */
  record TargetResult(
      Optional<Integer> status,
      Optional<String> receipt,
      int earlierResponses,
      Duration connectionAge,
      int connectionPort) {}

  /**
   * Result of a request.
   *
   * @param status status that the caller was given; empty if it was given none
   * @param kind kind of the error that this instance answered with, or {@code none}
   * @param decidedBy view by which the request was admitted or refused
   * @param targetResult what the last target answered; empty if the request was sent to none
   * @param target id of the last target, or {@code none}
   * @param sendCount number of targets that the request was sent to
   * @param startedAt time when the request was read and started
   * @param sentAt time when the request was last sent to a target
   * @param expectedMillis time to the first token that was expected when the request was last sent;
   *     empty if it was not sent or is no generation
   * @param firstByteAt time when the first byte was sent to the caller
   * @param connectionAge age of the caller's connection when the request was started
   * @param drainingFor time for which the instance had been draining then; empty if it was not
   * @param cause cause of the failure; empty if there was none
   */
  record Result(
      String outcome,
      Optional<Integer> status,
      String kind,
      DecidedBy decidedBy,
      String target,
      Optional<TargetResult> targetResult,
      int sendCount,
      Instant startedAt,
      Optional<Instant> sentAt,
      Optional<Long> expectedMillis,
      Optional<Instant> firstByteAt,
      Duration connectionAge,
      Optional<Duration> drainingFor,
      String cause) {}

  /** Logs the inputs of a placement decision. */
  static void logDecision(
      RelayState relay,
      ResolvedRequest resolved,
      int attempt,
      RelayPlacement.Choice choice,
      Instant now) {
    relay
        .log()
        .info(
            Event.of("relay-decision")
                .with("request", resolved.request().id())
                .with("route", resolved.route().name())
                .with("target", choice.target().id())
                .with("attempt", attempt)
                .with("weights", choice.target().weightsVersion())
                .with("namedWeights", namedWeights(relay, resolved))
                .with("costMillis", Math.round(choice.costMillis()))
                .with("promptTokens", resolved.request().promptTokens())
                .with("context", contextId(resolved))
                .with("keptTokens", choice.cachedTokens())
                .with("storedTokens", choice.storedTokens())
                .with("inFlight", choice.load().inFlight())
                .with("footprint", choice.load().footprint())
                .with("backlogMillis", choice.load().backlogMillis())
                .with("waitedMillis", millisBetween(resolved.request().arrivedAt(), now))
                .with("view", relay.admission().routing().view().index()));
  }

  /**
   * Logs how a request ended; a request that was not admitted has not been resolved. What tells
   * most comes first, since lines are often cut.
   */
  static void logEnd(
      EventLog log,
      RelayRequest request,
      Optional<ResolvedRequest> resolved,
      Result result,
      Instant now) {
    log.info(
        Event.of("relay-end")
            .with("request", request.id())
            .with("outcome", result.outcome())
            .with("status", orNever(result.status()))
            .with("kind", result.kind())
            .with("version", result.decidedBy().version())
            .with("viewAgeMillis", millis(result.decidedBy().sinceConfirmed()))
            .with("route", resolved.map(admitted -> admitted.route().name()).orElse(NONE))
            .with("target", result.target())
            .with("sends", result.sendCount())
            .with("targetStatus", orNever(result.targetResult().flatMap(TargetResult::status)))
            .with("receipt", result.targetResult().flatMap(TargetResult::receipt).orElse(NONE))
            .with(
                "earlierResponses",
                orNever(result.targetResult().map(TargetResult::earlierResponses)))
            .with(
                "targetConnectionMillis",
                millis(result.targetResult().map(TargetResult::connectionAge)))
            .with(
                "targetConnectionPort",
                orNever(result.targetResult().map(TargetResult::connectionPort)))
            .with("view", result.decidedBy().index())
            .with("lagMillis", millisBetween(request.arrivedAt(), result.startedAt()))
            .with("sentMillis", millisFromArrival(request, result.sentAt()))
            .with("expectedMillis", result.expectedMillis().orElse(NEVER))
            .with("firstByteMillis", millisFromArrival(request, result.firstByteAt()))
            .with("millis", millisBetween(request.arrivedAt(), now))
            .with("connectionMillis", result.connectionAge().toMillis())
            .with("drainingMillis", millis(result.drainingFor()))
            .with("cause", result.cause()));
  }

  /**
   * Logs a response in which a target states that it has not executed a request.
   *
   * @param attempt number of targets that the request was sent to
   * @param result the response and its connection
   */
  static void logRefusal(
      EventLog log, RelayRequest request, String target, int attempt, TargetResult result) {
    log.info(
        Event.of("target-refused")
            .with("request", request.id())
            .with("target", target)
            .with("status", orNever(result.status()))
            .with("attempt", attempt)
            .with("earlierResponses", result.earlierResponses())
            .with("targetConnectionMillis", result.connectionAge().toMillis())
            .with("targetConnectionPort", result.connectionPort()));
  }

  /** Returns the newest version that was named of the weights of a request, or 0. */
  private static long namedWeights(RelayState relay, ResolvedRequest resolved) {
    Optional<String> model = resolved.request().model();
    return model.isEmpty()
        ? 0
        : relay
            .admission()
            .routing()
            .view()
            .namedWeights(model.get())
            .map(NamedWeights::version)
            .orElse(0L);
  }

  private static long orNever(Optional<Integer> value) {
    return value.map(Integer::longValue).orElse(NEVER);
  }

  private static long millis(Optional<Duration> duration) {
    return duration.map(Duration::toMillis).orElse(NEVER);
  }

  private static String contextId(ResolvedRequest resolved) {
    List<PromptPart> shared = resolved.sharedParts();
    return shared.isEmpty() ? NONE : shared.get(shared.size() - 1).id();
  }

  private static long millisFromArrival(RelayRequest request, Optional<Instant> at) {
    return at.isPresent() ? millisBetween(request.arrivedAt(), at.get()) : NEVER;
  }

  private static long millisBetween(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }
}

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

/** Log events of a relayed request: each choice of a target, and the end of the request. */
final class ExchangeLog {

  private static final long NEVER = -1;

  private ExchangeLog() {}

  /**
   * Result of a request.
   *
   * @param target id of the last target, or {@code none}
   * @param sendCount number of targets that the request was sent to
   * @param startedAt time when the request was read and started
   * @param sentAt time when the request was last sent to a target
   * @param firstByteAt time when the first byte was sent to the caller
   * @param connectionAge age of the caller's connection when the request was started
   * @param drainingFor time for which the instance had been draining then; empty if it was not
   * @param cause cause of the failure; empty if there was none
   */
  record Result(
      String outcome,
      String target,
      int sendCount,
      Instant startedAt,
      Optional<Instant> sentAt,
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

  /** Logs how a request ended; a request that was not admitted has not been resolved. */
  static void logEnd(
      EventLog log,
      RelayRequest request,
      Optional<ResolvedRequest> resolved,
      Result result,
      Instant now) {
    log.info(
        Event.of("relay-end")
            .with("request", request.id())
            .with("route", resolved.map(admitted -> admitted.route().name()).orElse("none"))
            .with("outcome", result.outcome())
            .with("target", result.target())
            .with("sends", result.sendCount())
            .with("lagMillis", millisBetween(request.arrivedAt(), result.startedAt()))
            .with("sentMillis", millisFromArrival(request, result.sentAt()))
            .with("firstByteMillis", millisFromArrival(request, result.firstByteAt()))
            .with("millis", millisBetween(request.arrivedAt(), now))
            .with("connectionMillis", result.connectionAge().toMillis())
            .with("drainingMillis", result.drainingFor().map(Duration::toMillis).orElse(NEVER))
            .with("cause", result.cause()));
  }

  private static String contextId(ResolvedRequest resolved) {
    List<PromptPart> shared = resolved.sharedParts();
    return shared.isEmpty() ? "none" : shared.get(shared.size() - 1).id();
  }

  private static long millisFromArrival(RelayRequest request, Optional<Instant> at) {
    return at.map(time -> millisBetween(request.arrivedAt(), time)).orElse(NEVER);
  }

  private static long millisBetween(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }
}

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
import org.geraniumwharf.relay.RelayWork;

/** The lines that explain one relayed request: each choice of a target, and its end. */
final class ExchangeLog {

  private static final long NO_FIRST_BYTE = -1;

  private ExchangeLog() {}

  /**
   * How a request ended.
   *
   * @param target the last target, or {@code none}
   * @param sendCount targets that it was sent to
   * @param firstByteAt time of the first byte that its caller got
   * @param cause empty when nothing went wrong
   */
  record Result(
      String outcome, String target, int sendCount, Optional<Instant> firstByteAt, String cause) {}

  /** Tells the inputs of a choice. */
  static void logDecision(
      RelayState front, RelayWork work, int attempt, RelayPlacement.Choice choice, Instant now) {
    front
        .log()
        .info(
            Event.of("relay-decision")
                .with("request", work.request().id())
                .with("route", work.route().name())
                .with("target", choice.target().id())
                .with("attempt", attempt)
                .with("costMillis", Math.round(choice.cost()))
                .with("promptTokens", work.request().promptTokens())
                .with("context", contextId(work))
                .with("keptTokens", choice.keptTokens())
                .with("storedTokens", choice.storedTokens())
                .with("inFlight", choice.load().inFlight())
                .with("footprint", choice.load().footprint())
                .with("backlogMillis", choice.load().backlogMillis())
                .with("waitedMillis", millisBetween(work.request().arrivedAt(), now))
                .with("view", front.admission().routing().view().index()));
  }

  /** Tells how a request ended; one that was not admitted has no work. */
  static void logEnd(
      EventLog log, RelayRequest request, Optional<RelayWork> work, Result end, Instant now) {
    log.info(
        Event.of("relay-end")
            .with("request", request.id())
            .with("route", work.map(admitted -> admitted.route().name()).orElse("none"))
            .with("outcome", end.outcome())
            .with("target", end.target())
            .with("sends", end.sendCount())
            .with(
                "firstByteMillis",
                end.firstByteAt()
                    .map(at -> millisBetween(request.arrivedAt(), at))
                    .orElse(NO_FIRST_BYTE))
            .with("millis", millisBetween(request.arrivedAt(), now))
            .with("cause", end.cause()));
  }

  private static String contextId(RelayWork work) {
    List<PromptPart> shared = work.sharedParts();
    return shared.isEmpty() ? "none" : shared.get(shared.size() - 1).id();
  }

  private static long millisBetween(Instant from, Instant to) {
    return Duration.between(from, to).toMillis();
  }
}

package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.routing.Decision;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.RoutingPolicy;
import org.geraniumwharf.routing.RoutingRequest;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.operators.CandidateTerms;
import org.geraniumwharf.schema.operators.DecisionRecord;

/** Chooses the target of an attempt, logs the decision with its cost terms and retains it. */
public final class TargetChooser {

  private static final int LOGGED_CANDIDATES = 4;

  private final TargetLoadTable load;
  private final DecisionHistory history;
  private final DaemonMetrics metrics;
  private final EventLog log;
  private final InstantSource clock;

  private TargetChooser(
      TargetLoadTable load,
      DecisionHistory history,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    this.load = load;
    this.history = history;
    this.metrics = metrics;
    this.log = log;
    this.clock = clock;
  }

  public static TargetChooser create(
      TargetLoadTable load,
      DecisionHistory history,
      DaemonMetrics metrics,
      EventLog log,
      InstantSource clock) {
    return new TargetChooser(load, history, metrics, log, clock);
  }

  /** A chosen target, the id of the attempt sent to it and the expected time to first token. */
  record Choice(
      RoutableTarget target,
      String attempt,
      int missingTokens,
      boolean isImporting,
      Duration expectedLatency,
      Instant decidedAt) {}

  /**
   * Chooses a target for the next attempt.
   *
   * @throws ServingException if no target is available
   */
  Choice choose(
      RequestContext request,
      RoutingPolicy policy,
      RoutingRequest routing,
      List<RoutableTarget> targets,
      Optional<String> modelVersion)
      throws ServingException {
    Instant now = clock.instant();
    Decision decision =
        policy
            .decide(routing, targets, load, now)
            .orElseThrow(() -> ServingErrors.noTarget(request.route().name()));
    CandidateTerms best = chosenTerms(decision);
    Choice choice =
        new Choice(
            decision.chosen(),
            RequestIds.newAttemptId(),
            missingTokens(routing, best),
            best.imported(),
            Duration.ofMillis((long) best.costMillis()),
            now);
    Duration spent = Duration.between(now, clock.instant());
    metrics.decided(spent, routing.contextTokens(), choice.missingTokens());
    recordDecision(request, routing, decision, choice, modelVersion);
    return choice;
  }

  private static int missingTokens(RoutingRequest routing, CandidateTerms terms) {
    int imported = terms.imported() ? routing.keptPrefix().map(KeptPrefix::pieces).orElse(0) : 0;
    return routing.missingTokens(Math.max(terms.cachedPieces(), imported));
  }

  private static CandidateTerms chosenTerms(Decision decision) {
    return decision.candidates().stream()
        .filter(terms -> terms.target().equals(decision.chosen().id()))
        .findFirst()
        .orElseThrow();
  }

  private void recordDecision(
      RequestContext request,
      RoutingRequest routing,
      Decision decision,
      Choice choice,
      Optional<String> modelVersion) {
    history.add(
        DecisionRecord.of(
            request.id(),
            choice.attempt(),
            request.organisation().name(),
            request.route().name(),
            modelVersion,
            choice.target().id(),
            routing.pieces().size(),
            decision.candidates(),
            choice.decidedAt().toEpochMilli()));
    Event event =
        Event.of("decision")
            .with("request", request.id())
            .with("attempt", choice.attempt())
            .with("organisation", request.organisation().name())
            .with("route", request.route().name())
            .with("target", choice.target().id())
            .with("contextTokens", routing.contextTokens())
            .with("missingTokens", choice.missingTokens());
    decision.candidates().stream()
        .limit(LOGGED_CANDIDATES)
        .forEach(terms -> event.with("candidate", describe(terms)));
    log.info(event);
  }

  private static String describe(CandidateTerms terms) {
    return String.format(
        "%s/%s/queue:%.1f/prefill:%.1f/import:%b/penalty:%.1f/cached:%d/cost:%.1f",
        terms.target(),
        terms.source(),
        terms.queueMillis(),
        terms.prefillMillis(),
        terms.imported(),
        terms.penaltyMillis(),
        terms.cachedPieces(),
        terms.costMillis());
  }
}

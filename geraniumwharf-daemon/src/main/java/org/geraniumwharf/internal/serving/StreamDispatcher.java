package org.geraniumwharf.internal.serving;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.EngineClient;
import org.geraniumwharf.internal.target.TargetAnswer;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetRejection;
import org.geraniumwharf.internal.target.TargetRequest;
import org.geraniumwharf.routing.TargetLoadTable;

/**
 * Streams a generation to the caller. If the first token is late, a second attempt is hedged
 * against the first. If a stream fails, it is resumed after the last relayed token on another
 * engine of the same model version. An engine's rejection is relayed only before the first event;
 * later it fails the attempt.
 */
public final class StreamDispatcher {

  private static final String JSON = "application/json";
  private static final String DONE = "[DONE]";
  private static final Duration MIN_HEDGE_DELAY = Duration.ofMillis(150);
  private static final int HEDGE_DELAY_FACTOR = 2;

  private final EngineSelection selection;
  private final EngineClient engines;
  private final KeptCache kept;
  private final RetryPolicy retries;
  private final TargetLoadTable load;
  private final DaemonMetrics metrics;
  private final Executor workers;
  private final InstantSource clock;

  private StreamDispatcher(
      EngineSelection selection,
      EngineClient engines,
      KeptCache kept,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      Executor workers,
      InstantSource clock) {
    this.selection = selection;
    this.engines = engines;
    this.kept = kept;
    this.retries = retries;
    this.load = load;
    this.metrics = metrics;
    this.workers = workers;
    this.clock = clock;
  }

  public static StreamDispatcher create(
      EngineSelection selection,
      EngineClient engines,
      KeptCache kept,
      RetryPolicy retries,
      TargetLoadTable load,
      DaemonMetrics metrics,
      Executor workers,
      InstantSource clock) {
    return new StreamDispatcher(selection, engines, kept, retries, load, metrics, workers, clock);
  }

  /** State that the attempts of one stream share. */
  private record Job(
      RequestContext request,
      CompletionRequest completion,
      GenerationPlan plan,
      StreamProgress progress,
      Set<String> excluded) {

    Job withPlan(GenerationPlan updated) {
      return new Job(request, completion, updated, progress, excluded);
    }
  }

  /**
   * Streams one answer to {@code sink}; blocks until it is complete.
   *
   * @throws ServingException if the answer cannot be completed
   * @throws CallerDisconnectedException if the caller disconnected; the attempt is cancelled
   */
  void serve(
      RequestContext request, CompletionRequest completion, GenerationPlan plan, AnswerSink sink)
      throws ServingException, CallerDisconnectedException {
    Job job =
        new Job(
            request,
            completion,
            plan,
            new StreamProgress(request.id(), request.route().name()),
            new HashSet<>());
    for (int attempts = 1; ; attempts++) {
      try {
        if (job.progress().tokens() == 0) {
          job = job.withPlan(selection.updatedPlan(job.plan()));
        }
        runAttempt(job, sink);
        return;
      } catch (TargetCallException e) {
        job.excluded().add(e.target());
        retries.awaitRetry(request, attempts, true, e, clock.instant());
        if (job.progress().tokens() > 0) {
          metrics.resumed();
        }
      }
    }
  }

  private void runAttempt(Job job, AnswerSink sink)
      throws TargetCallException, CallerDisconnectedException, ServingException {
    try (StreamAttempt attempt = openWithHedge(job)) {
      try {
        forwardChunks(attempt, job, sink);
        attempt.tracker().recordSuccess();
        kept.exportLater(attempt.choice().target(), job.plan());
      } catch (TargetCallException e) {
        attempt.tracker().recordFailure();
        throw e;
      }
    } catch (TargetRejection e) {
      if (job.progress().isStarted()) {
        throw TargetCallException.unclear(
            e.target(), "it answered " + e.answer().status() + " for the rest of the stream");
      }
      sendWhole(e.answer(), sink);
    }
  }

  private StreamAttempt openWithHedge(Job job)
      throws TargetCallException, TargetRejection, ServingException {
    StreamAttempt first =
        newAttempt(job, selection.choose(job.request(), job.plan(), job.excluded()));
    Duration expected = first.choice().expectedLatency().multipliedBy(HEDGE_DELAY_FACTOR);
    Duration hedgeDelay = expected.compareTo(MIN_HEDGE_DELAY) < 0 ? MIN_HEDGE_DELAY : expected;
    return new FirstTokenRace(workers)
        .run(
            first,
            hedgeDelay,
            job.request().timeLeft(clock.instant()),
            () -> tryStartHedge(job, first));
  }

  private StreamAttempt newAttempt(Job job, TargetChooser.Choice choice) {
    TargetRequest request =
        TargetRequest.of(
            choice.target(),
            job.completion().kind().path(),
            choice.attempt(),
            Map.of(),
            job.plan().encodeBody(choice.attempt(), job.progress().tokens(), job.progress().text()),
            JSON,
            job.request().timeLeft(clock.instant()));
    AttemptTracker tracker = AttemptTracker.start(load, metrics, clock, choice);
    return new StreamAttempt(choice, tracker, engines.prepare(request));
  }

  /**
   * Starts a second attempt on another engine. Returns empty if no engine or hedge budget is left;
   * the first attempt then continues alone.
   */
  private Optional<StreamAttempt> tryStartHedge(Job job, StreamAttempt first) {
    Set<String> excluded = new HashSet<>(job.excluded());
    excluded.add(first.choice().target().id());
    if (!selection.hasOtherEngine(job.plan(), excluded) || !retries.tryHedge(job.request())) {
      return Optional.empty();
    }
    try {
      TargetChooser.Choice choice = selection.choose(job.request(), job.plan(), excluded);
      metrics.hedged();
      return Optional.of(newAttempt(job, choice));
    } catch (ServingException e) {
      return Optional.empty();
    }
  }

  private static void forwardChunks(StreamAttempt attempt, Job job, AnswerSink sink)
      throws TargetCallException, CallerDisconnectedException {
    TargetChooser.Choice choice = attempt.choice();
    String target = choice.target().id();
    Optional<String> data = attempt.next();
    while (data.isPresent() && !data.get().equals(DONE)) {
      Optional<String> chunk = job.progress().accept(target, choice.attempt(), data.get());
      attempt.tracker().recordFirstToken(job.plan().pieces());
      if (chunk.isPresent()) {
        sendEvent(chunk.get(), sink);
      }
      data = attempt.next();
    }
    if (data.isEmpty()) {
      throw TargetCallException.unclear(target, "the stream ended before its end mark");
    }
    sendEvent(DONE, sink);
  }

  static void sendWhole(TargetAnswer answer, AnswerSink sink) throws CallerDisconnectedException {
    try {
      sink.sendWhole(answer.status(), answer.contentType(), answer.body());
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }

  private static void sendEvent(String data, AnswerSink sink) throws CallerDisconnectedException {
    try {
      sink.sendEvent(data);
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }
}

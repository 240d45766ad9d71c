package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetRejection;

/**
 * Waits for the first event of an attempt, and hedges it with a second attempt if the event is
 * late. The losing attempt is cancelled, and its time so far is recorded as its engine's latency.
 * Use it only for requests that may run more than once, and each instance for one race.
 */
final class FirstTokenRace {

  private final Executor workers;
  private final BlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();

  FirstTokenRace(Executor workers) {
    this.workers = workers;
  }

  /** Starts the second attempt; returns empty if none may be started. */
  interface Hedge {
    Optional<StreamAttempt> start();
  }

  private record Arrival(StreamAttempt attempt, Optional<Exception> failure) {}

  /**
   * Returns the attempt whose first event arrived first. The other attempt, if any, is closed.
   *
   * @param hedgeDelay time after which the second attempt starts
   * @param timeout time after which an attempt without a first event fails, per wait
   * @throws TargetCallException if every attempt failed; all are closed then
   * @throws TargetRejection if an engine rejects the request itself
   */
  StreamAttempt run(StreamAttempt first, Duration hedgeDelay, Duration timeout, Hedge hedge)
      throws TargetCallException, TargetRejection {
    submit(first);
    Optional<Arrival> early = awaitArrival(hedgeDelay);
    if (early.isPresent()) {
      return winnerOrThrow(early.get());
    }
    Optional<StreamAttempt> second = hedge.start();
    if (second.isEmpty()) {
      return winnerOrThrow(awaitArrival(timeout).orElseGet(() -> timedOut(first)));
    }
    submit(second.get());
    Arrival arrival = awaitArrival(timeout).orElseGet(() -> timedOut(first));
    StreamAttempt other = arrival.attempt() == first ? second.get() : first;
    if (arrival.failure().isEmpty()) {
      closeLoser(other);
      return arrival.attempt();
    }
    arrival.attempt().tracker().recordFailure();
    arrival.attempt().close();
    return winnerOrThrow(awaitArrival(timeout).orElseGet(() -> timedOut(other)));
  }

  private void submit(StreamAttempt attempt) {
    workers.execute(() -> arrivals.add(awaitFirst(attempt)));
  }

  private static Arrival awaitFirst(StreamAttempt attempt) {
    try {
      attempt.awaitFirstEvent();
      return new Arrival(attempt, Optional.empty());
    } catch (TargetCallException | TargetRejection | RuntimeException e) {
      return new Arrival(attempt, Optional.of(e));
    }
  }

  private Optional<Arrival> awaitArrival(Duration time) {
    try {
      return Optional.ofNullable(arrivals.poll(time.toMillis(), TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private static Arrival timedOut(StreamAttempt attempt) {
    String target = attempt.choice().target().id();
    return new Arrival(
        attempt, Optional.of(TargetCallException.timeout(target, Execution.MAY_HAVE_RUN)));
  }

  private static StreamAttempt winnerOrThrow(Arrival arrival)
      throws TargetCallException, TargetRejection {
    if (arrival.failure().isEmpty()) {
      return arrival.attempt();
    }
    Exception failure = arrival.failure().get();
    if (failure instanceof TargetCallException) {
      arrival.attempt().tracker().recordFailure();
    }
    arrival.attempt().close();
    if (failure instanceof TargetCallException call) {
      throw call;
    }
    if (failure instanceof TargetRejection rejection) {
      throw rejection;
    }
    throw new IllegalStateException(failure);
  }

  private static void closeLoser(StreamAttempt attempt) {
    attempt.tracker().recordLostRace();
    attempt.cancel();
    attempt.close();
  }
}

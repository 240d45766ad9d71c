package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.retry.Backoff;
import org.geraniumwharf.retry.RetryBudget;

/**
 * Decides whether and when a failed attempt is retried, and which error is returned if it is not.
 * Retries and hedges are each limited per route, to a reserve plus a fraction of the first
 * attempts. Thread-safe.
 */
public final class RetryPolicy {

  private static final int MAX_ATTEMPTS = 4;
  private static final double RETRY_RATIO = 0.05;
  private static final double HEDGE_RATIO = 0.05;
  private static final double RETRY_RESERVE = 15;
  private static final double HEDGE_RESERVE = 10;
  private static final Duration MIN_TIME_LEFT = Duration.ofMillis(20);
  private static final Backoff BACKOFF = Backoff.of(Duration.ofMillis(20), Duration.ofSeconds(1));

  private final DaemonMetrics metrics;
  private final EventLog log;
  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> hedgeBudgets = new ConcurrentHashMap<>();

  private RetryPolicy(DaemonMetrics metrics, EventLog log) {
    this.metrics = metrics;
    this.log = log;
  }

  public static RetryPolicy create(DaemonMetrics metrics, EventLog log) {
    return new RetryPolicy(metrics, log);
  }

  /** Counts a first attempt towards the budgets of its route. */
  void recordFirstAttempt(RequestContext request) {
    retryBudget(request).deposit();
    hedgeBudget(request).deposit();
  }

  /** Withdraws one hedge from the budget of the route; returns false if the budget is exhausted. */
  boolean tryHedge(RequestContext request) {
    return hedgeBudget(request).tryWithdraw();
  }

  /**
   * Blocks for the backoff before the next attempt, or fails the request.
   *
   * @param attempts attempts made so far
   * @param isRepeatable whether the request may run more than once
   * @throws ServingException if the request is not retried
   */
  void awaitRetry(
      RequestContext request,
      int attempts,
      boolean isRepeatable,
      TargetCallException cause,
      Instant now)
      throws ServingException {
    boolean isAllowed = isRepeatable || cause.execution() == Execution.NOT_RUN;
    boolean isTimeLeft = request.timeLeft(now).compareTo(MIN_TIME_LEFT) > 0;
    if (!isAllowed
        || !isTimeLeft
        || attempts >= MAX_ATTEMPTS
        || !retryBudget(request).tryWithdraw()) {
      throw errorOf(request, cause);
    }
    metrics.retried();
    log.info(
        Event.of("retry")
            .with("request", request.id())
            .with("target", cause.target())
            .with("attempts", attempts)
            .with("execution", cause.execution().wireName())
            .with("cause", cause.getMessage()));
    Duration pause = BACKOFF.delay(attempts - 1, ThreadLocalRandom.current());
    LockSupport.parkNanos(pause.toNanos());
  }

  static ServingException errorOf(RequestContext request, TargetCallException cause) {
    if (cause.isTimeout()) {
      return ServingErrors.deadlineExceeded(request.route().timeoutMillis())
          .withExecution(cause.execution());
    }
    return cause.execution() == Execution.NOT_RUN
        ? ServingErrors.targetUnreachable(cause.target(), cause.getMessage())
        : ServingErrors.targetFailed(cause.target(), cause.getMessage());
  }

  private RetryBudget hedgeBudget(RequestContext request) {
    return hedgeBudgets.computeIfAbsent(
        request.route().name(), name -> RetryBudget.of(HEDGE_RATIO, HEDGE_RESERVE));
  }

  private RetryBudget retryBudget(RequestContext request) {
    return retryBudgets.computeIfAbsent(
        request.route().name(), name -> RetryBudget.of(RETRY_RATIO, RETRY_RESERVE));
  }
}

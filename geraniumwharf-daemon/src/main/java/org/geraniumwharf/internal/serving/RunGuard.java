package org.geraniumwharf.internal.serving;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.target.TargetAnswer;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ClaimOutcome;
import org.geraniumwharf.schema.messages.ClaimRunAnswer;
import org.geraniumwharf.schema.messages.ClaimRunCall;
import org.geraniumwharf.schema.messages.FinishRunCall;
import org.geraniumwharf.schema.state.RunAttempt;
import org.geraniumwharf.schema.state.RunKey;
import org.geraniumwharf.schema.state.RunState;
import org.geraniumwharf.schema.state.StoredAnswer;

/**
 * Ensures that a request that is not idempotent runs at most once: it is claimed at a quorum before
 * its first byte is sent to a target, and its end is recorded before the answer is sent to the
 * caller, or in the background if control doesn't answer in time.
 */
public final class RunGuard {

  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration CLAIM_POLL_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_KEY_LENGTH = 255;

  private final String daemon;
  private final long incarnation;
  private final int maxStoredAnswerBytes;
  private final ControlClient control;
  private final RunRecorder recorder;
  private final EventLog log;
  private final InstantSource clock;

  private RunGuard(
      String daemon,
      long incarnation,
      int maxStoredAnswerBytes,
      ControlClient control,
      RunRecorder recorder,
      EventLog log,
      InstantSource clock) {
    this.daemon = daemon;
    this.incarnation = incarnation;
    this.maxStoredAnswerBytes = maxStoredAnswerBytes;
    this.control = control;
    this.recorder = recorder;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Creates a guard.
   *
   * @param daemon name of this daemon
   * @param incarnation start of this daemon, ms since the epoch
   * @param maxStoredAnswerBytes size of the largest answer stored for repeated requests, bytes
   */
  public static RunGuard create(
      String daemon,
      long incarnation,
      int maxStoredAnswerBytes,
      ControlClient control,
      RunRecorder recorder,
      EventLog log,
      InstantSource clock) {
    return new RunGuard(daemon, incarnation, maxStoredAnswerBytes, control, recorder, log, clock);
  }

  /** Sends the request to a target. */
  public interface Dispatch {

    /**
     * Dispatches once.
     *
     * @throws ServingException if there is no answer; its execution states whether the request may
     *     have run
     */
    TargetAnswer send() throws ServingException;
  }

  /**
   * Runs a request, or returns the stored answer of an earlier one with the same key.
   *
   * @param key idempotency key of the caller
   * @param content bytes that a repeated request must have in common
   * @throws ServingException if the run fails, is in progress or in doubt, or cannot be claimed
   */
  public TargetAnswer run(RequestContext request, String key, byte[] content, Dispatch dispatch)
      throws ServingException {
    if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
      throw ServingErrors.invalidField(
          "Idempotency-Key", "the key must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    RunKey run = RunKey.of(request.organisation().name(), request.route().name(), key);
    RunAttempt attempt = RunAttempt.of(RequestIds.newAttemptId(), daemon, incarnation);
    ClaimRunAnswer claim = claim(request, run, attempt, fingerprintOf(content));
    logClaim(request, run, attempt, claim.outcome());
    return switch (claim.outcome()) {
      case CLAIMED -> dispatch(run, attempt, dispatch);
      case COMPLETED -> replayStoredAnswer(key, claim.answer());
      case IN_PROGRESS -> throw ServingErrors.runInProgress(key);
      case IN_DOUBT -> throw ServingErrors.runInDoubt(key);
      case FINGERPRINT_MISMATCH -> throw ServingErrors.idempotencyKeyReused(key);
      case RELEASED -> throw ServingErrors.controlUnavailable("the claim came too late");
    };
  }

  private void logClaim(
      RequestContext request, RunKey run, RunAttempt attempt, ClaimOutcome outcome) {
    log.info(
        Event.of("run-claim")
            .with("request", request.id())
            .with("attempt", attempt.attempt())
            .with("organisation", run.organisation())
            .with("route", run.route())
            .with("key", run.key())
            .with("outcome", outcome));
  }

  /** Claims the run; while another attempt holds it, retries until the deadline. */
  private ClaimRunAnswer claim(
      RequestContext request, RunKey run, RunAttempt attempt, String fingerprint)
      throws ServingException {
    Instant latest = clock.instant().plus(CLAIM_TIMEOUT);
    Instant deadline = request.deadline().isBefore(latest) ? request.deadline() : latest;
    ClaimRunCall call = ClaimRunCall.of(run, attempt, fingerprint);
    while (true) {
      ClaimRunAnswer answer = claimOnce(call, deadline);
      Instant now = clock.instant();
      if (answer.outcome() != ClaimOutcome.IN_PROGRESS || !now.isBefore(deadline)) {
        return answer;
      }
      LockSupport.parkNanos(CLAIM_POLL_INTERVAL.toNanos());
    }
  }

  /**
   * Claims the run once. A claim that got no answer may have been committed; nothing was
   * dispatched, so the attempt is released, and its claim is rejected if it arrives later.
   */
  private ClaimRunAnswer claimOnce(ClaimRunCall call, Instant deadline) throws ServingException {
    try {
      return control.call(call, ClaimRunAnswer.class, deadline);
    } catch (ServingException e) {
      recorder.recordLater(finishCall(call.run(), call.attempt(), RunState.RELEASED, null));
      throw ServingErrors.controlUnavailable(e.getMessage());
    }
  }

  private TargetAnswer dispatch(RunKey run, RunAttempt attempt, Dispatch dispatch)
      throws ServingException {
    try {
      TargetAnswer answer = dispatch.send();
      recorder.record(finishCall(run, attempt, RunState.COMPLETED, answer));
      return answer;
    } catch (ServingException e) {
      boolean isNotRun = e.execution() == Execution.NOT_RUN;
      RunState state = isNotRun ? RunState.RELEASED : RunState.IN_DOUBT;
      recorder.record(finishCall(run, attempt, state, null));
      throw e;
    } catch (RuntimeException e) {
      recorder.recordLater(finishCall(run, attempt, RunState.IN_DOUBT, null));
      throw e;
    }
  }

  private FinishRunCall finishCall(
      RunKey run, RunAttempt attempt, RunState state, TargetAnswer answer) {
    return FinishRunCall.of(
        run, attempt, state, Optional.ofNullable(answer).map(this::toStoredAnswer));
  }

  private StoredAnswer toStoredAnswer(TargetAnswer answer) {
    boolean isKept = answer.body().length <= maxStoredAnswerBytes;
    return StoredAnswer.of(
        answer.status(), answer.contentType(), isKept ? answer.body() : new byte[0], isKept);
  }

  private static TargetAnswer replayStoredAnswer(String key, Optional<StoredAnswer> stored)
      throws ServingException {
    if (stored.isEmpty() || !stored.get().kept()) {
      throw ServingErrors.answerNotKept(key);
    }
    StoredAnswer answer = stored.get();
    return TargetAnswer.of(answer.status(), answer.contentType(), answer.body(), Optional.empty());
  }

  private static String fingerprintOf(byte[] content) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}

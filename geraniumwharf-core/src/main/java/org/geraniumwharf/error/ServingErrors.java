package org.geraniumwharf.error;

import java.time.Duration;
import java.util.List;

/**
 * Creates the errors that callers and operators receive. A message states what failed and why;
 * {@link ErrorKind#advice} states what to do.
 *
 * <pre>{@code
 * throw ServingErrors.unknownRoute("quotes-v9");
 * }</pre>
 */
public final class ServingErrors {

  private static final Duration SHORT_RETRY_AFTER = Duration.ofSeconds(1);

  private static final Duration QUARANTINE_RETRY_AFTER = Duration.ofMinutes(1);

  private ServingErrors() {}

  public static ServingException invalidField(String field, String reason) {
    return notRun(ErrorKind.INVALID_REQUEST, reason).withField(field);
  }

  public static ServingException invalidJson(String reason) {
    return notRun(ErrorKind.INVALID_REQUEST, "the body is not valid JSON: " + reason);
  }

  public static ServingException unauthenticated(String reason) {
    return notRun(ErrorKind.UNAUTHENTICATED, reason);
  }

  public static ServingException forbidden(String organisation, String route) {
    return notRun(
        ErrorKind.FORBIDDEN, "organisation " + organisation + " may not use route " + route);
  }

  public static ServingException unknownRoute(String route) {
    return notRun(ErrorKind.UNKNOWN_ROUTE, "no route is named " + route).withField("model");
  }

  public static ServingException unknownDataCentre(String dataCentre) {
    return notRun(
        ErrorKind.UNKNOWN_DATA_CENTRE,
        "no instance, target or cache store of data centre " + dataCentre + " is known");
  }

  /** Returns the error for an order that an opposite one came before while it was under way. */
  public static ServingException orderOvertaken(String dataCentre) {
    return controlUnavailable(
        "the order was not applied: the opposite one for data centre "
            + dataCentre
            + " came into force while it was under way");
  }

  public static ServingException notFound(String path) {
    return notRun(ErrorKind.NOT_FOUND, "nothing is served at " + path);
  }

  public static ServingException methodNotAllowed(String method, String path) {
    return notRun(ErrorKind.METHOD_NOT_ALLOWED, path + " does not take " + method);
  }

  public static ServingException bodyTooLarge(long boundBytes) {
    return notRun(
        ErrorKind.REQUEST_TOO_LARGE,
        "the body is larger than the bound of " + boundBytes + " bytes");
  }

  public static ServingException headerTooLarge(long boundBytes) {
    return notRun(
        ErrorKind.HEADER_TOO_LARGE,
        "the header is larger than the bound of " + boundBytes + " bytes");
  }

  public static ServingException idempotencyKeyRequired(String route) {
    return notRun(
        ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
        "route " + route + " is not idempotent, so the request needs an Idempotency-Key header");
  }

  public static ServingException idempotencyKeyReused(String key) {
    return notRun(
        ErrorKind.IDEMPOTENCY_KEY_REUSED,
        "Idempotency-Key " + key + " was first used with another request");
  }

  public static ServingException runInProgress(String key) {
    return mayHaveRun(
            ErrorKind.RUN_IN_PROGRESS, "the request with Idempotency-Key " + key + " is running")
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  public static ServingException runInDoubt(String key) {
    return mayHaveRun(
        ErrorKind.RUN_IN_DOUBT,
        "the request with Idempotency-Key " + key + " may have run and is not run again");
  }

  public static ServingException answerNotKept(String key) {
    return ServingException.of(
        ErrorKind.ANSWER_NOT_KEPT,
        Execution.RAN,
        "the request with Idempotency-Key "
            + key
            + " has run but its answer was too large to keep");
  }

  public static ServingException limitExceeded(String organisation, String limit, Duration wait) {
    return notRun(
            ErrorKind.LIMIT_EXCEEDED, "organisation " + organisation + " is over its " + limit)
        .withRetryAfter(wait);
  }

  public static ServingException overloaded(String reason, Duration wait) {
    return notRun(ErrorKind.OVERLOADED, reason).withRetryAfter(wait);
  }

  public static ServingException noTarget(String route) {
    return notRun(ErrorKind.NO_TARGET, "no live target serves route " + route)
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a request whose route and organisation have no region in common. */
  public static ServingException noRegionAllowed(String route, String organisation) {
    return notRun(
        ErrorKind.REGION_NOT_ALLOWED,
        "route "
            + route
            + " and organisation "
            + organisation
            + " have no allowed region in common");
  }

  /** Returns the error for a request that no target in an allowed region can serve. */
  public static ServingException noTargetInRegion(String service) {
    return notRun(
            ErrorKind.NO_TARGET,
            "no live target of " + service + " is in a region in which the request may be served")
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a service whose targets have only weights replaced too long ago. */
  public static ServingException weightsOverdue(String service) {
    return notRun(
            ErrorKind.NO_TARGET,
            "the weights of every target of " + service + " were replaced too long ago")
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a service whose targets are all in evacuated data centres. */
  public static ServingException dataCentresEvacuated(String service) {
    return notRun(
            ErrorKind.NO_TARGET, "the data centres of all targets of " + service + " are evacuated")
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a prompt with a part under which targets crashed. */
  public static ServingException promptQuarantined(String part) {
    return notRun(
            ErrorKind.PROMPT_QUARANTINED, "targets crashed under requests with prompt part " + part)
        .withRetryAfter(QUARANTINE_RETRY_AFTER);
  }

  public static ServingException notReady(String reason) {
    return notRun(ErrorKind.NOT_READY, reason).withRetryAfter(SHORT_RETRY_AFTER);
  }

  public static ServingException shuttingDown() {
    return notRun(ErrorKind.SHUTTING_DOWN, "the daemon is shutting down")
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a request that was sent to a target and has no answer at the stop. */
  public static ServingException instanceStopped() {
    return mayHaveRun(ErrorKind.TARGET_FAILED, "the instance stopped before the target answered");
  }

  /** Returns the error for a request that was not dispatched because control did not respond. */
  public static ServingException controlUnavailable(String reason) {
    return notRun(ErrorKind.CONTROL_UNAVAILABLE, reason).withRetryAfter(SHORT_RETRY_AFTER);
  }

  /** Returns the error for a change that may have been accepted: control did not respond to it. */
  public static ServingException controlOutcomeUnknown(String reason) {
    return mayHaveRun(ErrorKind.CONTROL_UNAVAILABLE, reason).withRetryAfter(SHORT_RETRY_AFTER);
  }

  public static ServingException storageFull(String reason) {
    return notRun(ErrorKind.STORAGE_FULL, reason);
  }

  public static ServingException targetFailed(String target, String reason) {
    return mayHaveRun(ErrorKind.TARGET_FAILED, "target " + target + " failed: " + reason);
  }

  public static ServingException targetUnreachable(String target, String reason) {
    return notRun(ErrorKind.TARGET_FAILED, "target " + target + " was not reached: " + reason)
        .withRetryAfter(SHORT_RETRY_AFTER);
  }

  public static ServingException deadlineExceeded(long timeoutMillis) {
    return mayHaveRun(
        ErrorKind.DEADLINE_EXCEEDED,
        "no whole answer within the timeout of " + timeoutMillis + " ms");
  }

  public static ServingException invalidConfiguration(List<String> faults) {
    return notRun(
        ErrorKind.INVALID_CONFIGURATION, faults.size() + " faults: " + String.join("; ", faults));
  }

  public static ServingException internal(String reason) {
    return mayHaveRun(ErrorKind.INTERNAL, reason);
  }

  private static ServingException notRun(ErrorKind kind, String message) {
    return ServingException.of(kind, Execution.NOT_RUN, message);
  }

  private static ServingException mayHaveRun(ErrorKind kind, String message) {
    return ServingException.of(kind, Execution.MAY_HAVE_RUN, message);
  }
}

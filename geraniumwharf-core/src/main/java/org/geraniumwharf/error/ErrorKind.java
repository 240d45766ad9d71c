package org.geraniumwharf.error;

import java.util.Locale;

/**
 * Errors that callers and operators can receive, with the HTTP status and type of each. A test
 * generates docs/ERRORS.md from this table.
 */
public enum ErrorKind {
  INVALID_REQUEST(
      400, ErrorType.INVALID_REQUEST, "The request is malformed.", "Correct the named field."),
  IDEMPOTENCY_KEY_REQUIRED(
      400,
      ErrorType.INVALID_REQUEST,
      "The route is not idempotent and the request has no Idempotency-Key header.",
      "Send a key that is unique to the operation and repeat it on every resend."),
  UNAUTHENTICATED(
      401,
      ErrorType.AUTHENTICATION,
      "The credential is missing or wrong.",
      "Send a valid key as a bearer token."),
  FORBIDDEN(
      403,
      ErrorType.PERMISSION,
      "The organisation may not use this route.",
      "Ask an operator to add the route to the organisation."),
  REGION_NOT_ALLOWED(
      403,
      ErrorType.PERMISSION,
      "The route and the organisation have no allowed region in common.",
      "Ask an operator to change the allowed regions of the route or of the organisation."),
  UNKNOWN_ROUTE(
      404,
      ErrorType.INVALID_REQUEST,
      "No route has this name.",
      "List the routes with GET /v1/models."),
  UNKNOWN_DATA_CENTRE(
      404,
      ErrorType.INVALID_REQUEST,
      "No instance, target or cache store of this data centre is known.",
      "Check the name of the data centre."),
  NOT_FOUND(404, ErrorType.INVALID_REQUEST, "Nothing is served at this path.", "Check the path."),
  METHOD_NOT_ALLOWED(
      405, ErrorType.INVALID_REQUEST, "The path does not take this method.", "Check the method."),
  CONFLICT(
      409,
      ErrorType.CONFLICT,
      "Another publication holds this version.",
      "Fetch the current set, merge and publish on its version."),
  RUN_IN_PROGRESS(
      409,
      ErrorType.CONFLICT,
      "A request with the same Idempotency-Key is still running.",
      "Repeat the request with the same key later."),
  RUN_IN_DOUBT(
      409,
      ErrorType.CONFLICT,
      "An earlier request with the same Idempotency-Key may have run and its answer was lost.",
      "Look the operation up at the service before using a new key."),
  ANSWER_NOT_KEPT(
      409,
      ErrorType.CONFLICT,
      "The request has run but its answer was too large to keep.",
      "Look the result up at the service."),
  REQUEST_TOO_LARGE(
      413,
      ErrorType.INVALID_REQUEST,
      "The request body exceeds the bound.",
      "Send a smaller body."),
  IDEMPOTENCY_KEY_REUSED(
      422,
      ErrorType.INVALID_REQUEST,
      "The Idempotency-Key was used with another request.",
      "Use a new key for a new operation."),
  INVALID_CONFIGURATION(
      422,
      ErrorType.INVALID_REQUEST,
      "The published set has faults.",
      "Correct every listed fault and publish again."),
  LIMIT_EXCEEDED(
      429,
      ErrorType.RATE_LIMIT,
      "The organisation is over its limit.",
      "Wait for the time in Retry-After."),
  HEADER_TOO_LARGE(
      431,
      ErrorType.INVALID_REQUEST,
      "The request header exceeds the bound.",
      "Send smaller headers."),
  INTERNAL(
      500,
      ErrorType.SERVER,
      "The daemon failed in an unforeseen way.",
      "Report the request id to the operators."),
  TARGET_FAILED(
      502,
      ErrorType.SERVER,
      "The target failed while it handled the request.",
      "Resend if the request may run twice."),
  NOT_READY(
      503,
      ErrorType.OVERLOADED,
      "The daemon has no confirmed configuration yet or lost touch with the fleet.",
      "Send the request to another entry instance."),
  SHUTTING_DOWN(
      503,
      ErrorType.OVERLOADED,
      "The daemon is shutting down.",
      "Send the request to another entry instance."),
  OVERLOADED(
      503,
      ErrorType.OVERLOADED,
      "The request could not be served before its deadline.",
      "Wait for the time in Retry-After."),
  NO_TARGET(
      503,
      ErrorType.OVERLOADED,
      "No live target serves the route.",
      "Wait for the time in Retry-After."),
  PROMPT_QUARANTINED(
      503,
      ErrorType.OVERLOADED,
      "Targets crashed under requests with a part of this prompt.",
      "Send a prompt without the part that the message names."),
  CONTROL_UNAVAILABLE(
      503,
      ErrorType.OVERLOADED,
      "The control quorum does not answer.",
      "Wait for the time in Retry-After."),
  DEADLINE_EXCEEDED(
      504,
      ErrorType.SERVER,
      "The target did not answer within the timeout of the route.",
      "Resend if the request may run twice."),
  STORAGE_FULL(
      507,
      ErrorType.SERVER,
      "The disk of the control instance is full.",
      "Free space in the data folder.");

  private final int httpStatus;
  private final ErrorType type;
  private final String meaning;
  private final String advice;

  ErrorKind(int httpStatus, ErrorType type, String meaning, String advice) {
    this.httpStatus = httpStatus;
    this.type = type;
    this.meaning = meaning;
    this.advice = advice;
  }

  public int httpStatus() {
    return httpStatus;
  }

  public ErrorType type() {
    return type;
  }

  /** Returns what the error means, as one sentence. */
  public String meaning() {
    return meaning;
  }

  /** Returns what the caller should do, as one sentence. */
  public String advice() {
    return advice;
  }

  /** Returns the name that is used in responses and logs, such as {@code not-found}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the kind with a wire name, or {@link #INTERNAL} if there is none. */
  public static ErrorKind ofWireName(String wireName) {
    for (ErrorKind kind : values()) {
      if (kind.wireName().equals(wireName)) {
        return kind;
      }
    }
    return INTERNAL;
  }
}

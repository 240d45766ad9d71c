package org.geraniumwharf.error;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Thrown when a request fails; carries what the error response contains. Created by {@link
 * ServingErrors}.
 */
public final class ServingException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final Execution execution;
  private final String field;
  private final Duration retryAfter;

  private ServingException(
      ErrorKind kind, Execution execution, String message, String field, Duration retryAfter) {
    super(message);
    this.kind = Objects.requireNonNull(kind);
    this.execution = Objects.requireNonNull(execution);
    this.field = field;
    this.retryAfter = retryAfter;
  }

  public static ServingException of(ErrorKind kind, Execution execution, String message) {
    return new ServingException(kind, execution, message, null, null);
  }

  /** Returns a copy that names the invalid field of the request. */
  public ServingException withField(String field) {
    return copy(execution, field, retryAfter);
  }

  /** Returns a copy with the time after which the caller may retry. */
  public ServingException withRetryAfter(Duration retryAfter) {
    return copy(execution, field, retryAfter);
  }

  /** Returns a copy with another execution state. */
  public ServingException withExecution(Execution execution) {
    return copy(execution, field, retryAfter);
  }

  private ServingException copy(Execution execution, String field, Duration retryAfter) {
    ServingException copy = new ServingException(kind, execution, getMessage(), field, retryAfter);
    copy.initCause(this);
    return copy;
  }

  public ErrorKind kind() {
    return kind;
  }

  public Execution execution() {
    return execution;
  }

  public Optional<String> field() {
    return Optional.ofNullable(field);
  }

  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}

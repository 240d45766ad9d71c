package org.geraniumwharf.error;

/** Error types of the OpenAI API, by which its clients classify errors. */
public enum ErrorType {
  INVALID_REQUEST("invalid_request_error"),
  AUTHENTICATION("authentication_error"),
  PERMISSION("permission_error"),
  CONFLICT("conflict_error"),
  RATE_LIMIT("rate_limit_error"),
  OVERLOADED("overloaded_error"),
  SERVER("server_error");

  private final String wireName;

  ErrorType(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }
}

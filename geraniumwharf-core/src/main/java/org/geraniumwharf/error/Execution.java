package org.geraniumwharf.error;

/** Whether a target may have executed a failed request. */
public enum Execution {
  /** Not executed; the caller may safely retry. */
  NOT_RUN("not-run"),
  /** Possibly executed, in whole or in part. */
  MAY_HAVE_RUN("may-have-run"),
  /** Executed, but the response is not available. */
  RAN("ran");

  private final String wireName;

  Execution(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name that is used in responses and logs. */
  public String wireName() {
    return wireName;
  }
}

package org.geraniumwharf.internal.cli;

/** Exit statuses of the command line. */
public enum ExitStatus {
  SUCCESS(0, "done"),
  FAILURE(1, "the daemon refused the call"),
  USAGE(2, "wrong command line"),
  CONFLICT(3, "another publication holds the version"),
  INVALID_CONFIGURATION(4, "the set of objects has faults"),
  UNAVAILABLE(5, "no daemon answered, or the outcome is unknown"),
  LATE(6, "accepted, but not in force everywhere within the wait"),
  DIFFERENT(7, "diff found differences");

  private final int code;
  private final String meaning;

  ExitStatus(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  public int code() {
    return code;
  }

  public String meaning() {
    return meaning;
  }
}

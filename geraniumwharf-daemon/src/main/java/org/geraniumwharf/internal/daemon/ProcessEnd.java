package org.geraniumwharf.internal.daemon;

/** The end of a process that is of no use any more. */
public final class ProcessEnd {

  private static final int FAILURE = 1;

  private ProcessEnd() {}

  /**
   * Ends the process at once, without a graceful shutdown. A process that goes on without one of
   * its parts is neither replaced nor started again by anyone. The cause is written to standard
   * error here, because the log is written by another thread.
   */
  public static void afterFailure(Throwable cause) {
    System.err.println("geraniumwharf: the process ends after a failure: " + cause);
    Runtime.getRuntime().halt(FAILURE);
  }
}

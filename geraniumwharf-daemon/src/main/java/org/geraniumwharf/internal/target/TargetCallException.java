package org.geraniumwharf.internal.target;

import org.geraniumwharf.error.Execution;

/** A call of a target that gave no usable answer. */
public final class TargetCallException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String target;
  private final Execution execution;
  private final boolean isTimeout;

  private TargetCallException(
      String target, Execution execution, boolean isTimeout, String message) {
    super(message);
    this.target = target;
    this.execution = execution;
    this.isTimeout = isTimeout;
  }

  /** The request certainly did not reach the target, or the target said that it did not run. */
  public static TargetCallException notRun(String target, String reason) {
    return new TargetCallException(target, Execution.NOT_RUN, false, reason);
  }

  /** The request may have reached the target. */
  public static TargetCallException unclear(String target, String reason) {
    return new TargetCallException(target, Execution.MAY_HAVE_RUN, false, reason);
  }

  /** The target did not answer in time. */
  public static TargetCallException timeout(String target, Execution execution) {
    return new TargetCallException(target, execution, true, "no answer in time");
  }

  public String target() {
    return target;
  }

  public Execution execution() {
    return execution;
  }

  public boolean isTimeout() {
    return isTimeout;
  }
}

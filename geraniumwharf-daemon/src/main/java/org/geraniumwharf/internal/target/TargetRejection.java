package org.geraniumwharf.internal.target;

/**
 * A target's answer that the request itself is wrong, to be relayed as it is unless a part of
 * another answer was already sent.
 */
public final class TargetRejection extends Exception {

  private static final long serialVersionUID = 1L;

  private final String target;
  private final transient TargetAnswer answer;

  private TargetRejection(String target, TargetAnswer answer) {
    super("the target answered " + answer.status());
    this.target = target;
    this.answer = answer;
  }

  /** Creates a rejection by the target with the id {@code target}. */
  public static TargetRejection of(String target, TargetAnswer answer) {
    return new TargetRejection(target, answer);
  }

  public String target() {
    return target;
  }

  public TargetAnswer answer() {
    return answer;
  }
}

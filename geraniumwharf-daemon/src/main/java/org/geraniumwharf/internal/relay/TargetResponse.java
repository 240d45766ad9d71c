package org.geraniumwharf.internal.relay;

import java.util.Optional;

/**
 * What the head of a target's answer says.
 *
 * @param requestId id of the request that it answers, if it names one
 * @param verdict what became of the request
 */
public record TargetResponse(Optional<String> requestId, Verdict verdict) {

  /** What became of a request at a target. */
  public enum Verdict {
    /** It ran, and this is its answer. */
    SUCCEEDED,
    /** It ran or was refused for good; the answer is the target's own. */
    FAILED,
    /** The target says that it did not run the request and never will. */
    NOT_EXECUTED,
    /** The answer cannot be the target's own, or would promise what is not known to be true. */
    UNTRUSTED
  }
}

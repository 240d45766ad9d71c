package org.geraniumwharf.internal.relay;

import java.util.Optional;
import org.geraniumwharf.relay.TargetNotice;

/**
 * Contents of the head of a target's response.
 *
 * @param requestId id of the request that the response belongs to, if the head has one
 * @param verdict result of the request at the target
 * @param notice what the target states about further requests
 */
public record TargetResponse(Optional<String> requestId, Verdict verdict, TargetNotice notice) {

  /** Result of a request at a target. */
  public enum Verdict {
    /** The target executed the request, and this is the result. */
    SUCCEEDED,
    /**
     * The target executed the request and failed, or finally rejected it; the response is its own.
     */
    FAILED,
    /** The target states that it has not executed the request and never will. */
    NOT_EXECUTED,
    /** The response cannot come from the target, or claims a state that is not certain. */
    UNTRUSTED
  }
}

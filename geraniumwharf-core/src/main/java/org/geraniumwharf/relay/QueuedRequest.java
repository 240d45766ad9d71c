package org.geraniumwharf.relay;

import java.time.Instant;

/** What a {@link QueueOrder} knows of a queued request. */
public interface QueuedRequest {

  /** Returns the priority, 0 being the most urgent. */
  int priority();

  /** Returns the tokens that the request occupies at a target. */
  long size();

  /** Returns the position in the order of arrival. */
  long sequence();

  /** Returns what is known of the request besides. */
  RequestProfile profile();

  /** Returns the time from which the request has been queued. */
  Instant queuedAt();

  /** Returns the time at which the request is to leave the queue unserved. */
  Instant expiresAt();
}

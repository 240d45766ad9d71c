package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;

/**
 * Decides in which order the requests of one queue are dispatched and which are refused. Guarded by
 * the lock of its queue.
 */
interface QueueRules {

  /** Returns the order of the requests that wait. */
  QueueOrder order(Collection<? extends QueuedRequest> waiting);

  /** Returns the time until which a request may wait. */
  Instant latestDispatch(RequestProfile profile, Instant now);

  /** Returns the time that a target is expected to take for the whole response. */
  Duration expectedResponse(RequestProfile profile);

  /** Returns the time until a request is dispatched if it is offered now. */
  Duration expectedWait(
      QueuedRequest offered, Collection<? extends QueuedRequest> waiting, Instant now);

  /** Returns the time until all requests that wait have been dispatched. */
  Duration drainTime(Collection<? extends QueuedRequest> waiting, Instant now);

  /** Returns the most requests that may wait. */
  int maxWaiting();

  /** Returns whether a request that waits loses its chance by those that go before it. */
  boolean isHopeless(QueuedRequest last, Collection<? extends QueuedRequest> waiting, Instant now);

  /**
   * Returns whether a request that arrives must not be placed before one that waits.
   *
   * @param order order of both
   */
  boolean holdsUp(QueuedRequest waiting, QueuedRequest arrived, Comparator<QueuedRequest> order);

  /** Records a request that is sent to a target, whether it was queued or not. */
  void recordDispatched(
      RequestProfile profile, Collection<? extends QueuedRequest> waiting, Instant now);

  /** Records a request that is refused. */
  void recordRefused(RequestProfile profile, Instant now);

  /**
   * Records the end of a request at a target.
   *
   * @param isAnyWaiting whether requests wait
   */
  void recordEnded(double work, boolean isAnyWaiting, Instant now);

  /** Records the time that a target took for the first token or the response of a request. */
  void recordFirstResponse(RequestProfile profile, double millis);

  /** Records the time that a target took for the whole response of a request. */
  void recordResponse(RequestProfile profile, double millis);
}

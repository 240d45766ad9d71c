package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;

/** Whether this daemon may take requests. */
public final class Readiness {

  private final FleetViewHolder view;
  private final ControlReachability reachability;
  private final Duration lease;
  private volatile long requiredIndex = Long.MAX_VALUE;
  private volatile boolean isLeaving;
  private volatile Instant refusesFrom = Instant.MAX;
  private volatile boolean hasServed;

  private Readiness(FleetViewHolder view, ControlReachability reachability, Duration lease) {
    this.view = view;
    this.reachability = reachability;
    this.lease = lease;
  }

  static Readiness create(FleetViewHolder view, ControlReachability reachability, Duration lease) {
    return new Readiness(view, reachability, lease);
  }

  /** A quorum confirmed that this index covers every change accepted before the daemon started. */
  void confirmed(long index) {
    requiredIndex = index;
  }

  boolean isConfirmed() {
    return requiredIndex != Long.MAX_VALUE;
  }

  /** Turns unready while requests are still served. */
  public void leaving() {
    isLeaving = true;
  }

  /** Refuses new requests from now on. */
  public void refusing() {
    refuseFrom(Instant.MIN);
  }

  /** Refuses new requests from a time on. */
  public void refuseFrom(Instant time) {
    refusesFrom = time;
  }

  public boolean isLeaving() {
    return isLeaving;
  }

  /** Tells whether the balancer should send requests here. */
  public boolean isReady(Instant now) {
    return !isLeaving && isServing(now);
  }

  /**
   * Checks that a new request may be taken.
   *
   * @throws ServingException if not; the request has not run
   */
  public void check(Instant now) throws ServingException {
    if (!now.isBefore(refusesFrom)) {
      throw ServingErrors.shuttingDown();
    }
    if (view.current().index() < requiredIndex) {
      throw ServingErrors.notReady("the daemon waits for a confirmed configuration");
    }
    if (!isServing(now)) {
      throw ServingErrors.notReady("the daemon lost touch with the control instances");
    }
  }

  /** Tells whether this daemon has had no confirmed view since its start. */
  public boolean isAwaitingFirstView(Instant now) {
    return !hasServed && !isLeaving && now.isBefore(refusesFrom) && !isServing(now);
  }

  private boolean isServing(Instant now) {
    boolean isServing =
        view.current().index() >= requiredIndex
            && (now.isBefore(freshUntil()) || reachability.isQuorumElsewhereImpossible(lease, now));
    hasServed |= isServing;
    return isServing;
  }

  private Instant freshUntil() {
    Instant freshAt = view.freshAt();
    return freshAt.equals(Instant.MIN) ? freshAt : freshAt.plus(lease);
  }
}

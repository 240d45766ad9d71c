package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import org.geraniumwharf.limit.TargetPermits;

/** Limits of targets that daemons share, and permits for limited targets, by way of the leader. */
public interface LimitExchange {

  /** Returns what the next heartbeat reports. */
  TargetPermits.Report report(Instant now);

  /**
   * Applies the answer to a heartbeat.
   *
   * @param reportedAt time of the report that the heartbeat carried
   */
  void answered(TargetPermits.Answer answer, Instant reportedAt, Instant now);

  /** Returns an exchange of a daemon that relays nothing. */
  static LimitExchange none() {
    return new LimitExchange() {
      @Override
      public TargetPermits.Report report(Instant now) {
        return TargetPermits.Report.none();
      }

      @Override
      public void answered(TargetPermits.Answer answer, Instant reportedAt, Instant now) {}
    };
  }
}

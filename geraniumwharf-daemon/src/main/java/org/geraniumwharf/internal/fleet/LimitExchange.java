package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.messages.EntryRank;

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

  /**
   * Applies the rank that the answer to a heartbeat states.
   *
   * @param askedAt time when the heartbeat was sent
   */
  void ranked(Optional<EntryRank> rank, Instant askedAt);

  /** Returns an exchange of a daemon that relays nothing. */
  static LimitExchange none() {
    return new LimitExchange() {
      @Override
      public TargetPermits.Report report(Instant now) {
        return TargetPermits.Report.none();
      }

      @Override
      public void answered(TargetPermits.Answer answer, Instant reportedAt, Instant now) {}

      @Override
      public void ranked(Optional<EntryRank> rank, Instant askedAt) {}
    };
  }
}

package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.quarantine.PartQuarantine;

/** Crash evidence that daemons share, by way of the leader. */
public interface CrashExchange {

  /** Returns what the next heartbeat reports. */
  PartQuarantine.Report report();

  /** Applies the lists of the leader in the answer to a heartbeat. */
  void answered(PartQuarantine.Report sent, PartQuarantine.LeaderLists lists, Instant now);

  /** Returns an exchange of a daemon that relays nothing. */
  static CrashExchange none() {
    return new CrashExchange() {
      @Override
      public PartQuarantine.Report report() {
        return new PartQuarantine.Report(List.of(), List.of(), List.of());
      }

      @Override
      public void answered(
          PartQuarantine.Report sent, PartQuarantine.LeaderLists lists, Instant now) {}
    };
  }
}

package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.messages.DataCentreRegion;
import org.geraniumwharf.schema.messages.RegionReport;

/** Regions of data centres, which daemons tell each other by way of the leader. */
public interface RegionExchange {

  /**
   * Returns what the next heartbeat tells and asks; empty while no request is restricted to
   * regions.
   *
   * @param configuration configuration in force at this daemon
   */
  Optional<RegionReport> report(Configuration configuration, Instant now);

  /** Applies what the live daemons state of their data centres. */
  void received(List<DataCentreRegion> stated);

  /** Returns an exchange of a daemon that relays nothing. */
  static RegionExchange none() {
    return new RegionExchange() {
      @Override
      public Optional<RegionReport> report(Configuration configuration, Instant now) {
        return Optional.empty();
      }

      @Override
      public void received(List<DataCentreRegion> stated) {}
    };
  }
}

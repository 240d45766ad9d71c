package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Log events of the view of the fleet that is in force at this daemon. */
public final class ViewReports {

  private static final long NEVER = -1;

  private ViewReports() {}

  /** Logs each change of the configuration in force, and where it came from. */
  public static void logConfigurations(FleetViewHolder holder, EventLog log) {
    holder.onChange(
        (before, after) -> {
          if (before.configuration().version() != after.configuration().version()) {
            log.info(applied(after, holder.origin()));
          }
        });
  }

  private static Event applied(FleetSnapshot view, FleetViewHolder.Origin origin) {
    return Event.of("configuration-applied")
        .with("version", view.configuration().version())
        .with("index", view.index())
        .with("from", origin.instance())
        .with("ageMillis", origin.age().toMillis())
        .with("unconfirmedMillis", origin.sinceConfirmed().map(Duration::toMillis).orElse(NEVER));
  }
}

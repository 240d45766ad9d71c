package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Log events and metrics of the view of the fleet that is in force at this daemon. */
public final class ViewReports {

  private static final long NEVER = -1;
  private static final double MILLIS_PER_SECOND = 1000;

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

  /** Logs each start and each end of an evacuation when it takes effect at this instance. */
  public static void logEvacuations(FleetViewHolder holder, EventLog log) {
    holder.onChange(
        (before, after) -> {
          if (before.evacuated().equals(after.evacuated())) {
            return;
          }
          logEvacuations("evacuation-start-applied", before, after, after, holder, log);
          logEvacuations("evacuation-end-applied", after, before, after, holder, log);
        });
  }

  /** Logs the data centres that are evacuated in the second view and not in the first. */
  private static void logEvacuations(
      String event,
      FleetSnapshot without,
      FleetSnapshot with,
      FleetSnapshot view,
      FleetViewHolder holder,
      EventLog log) {
    for (String dataCentre : with.evacuated()) {
      if (!without.evacuated().contains(dataCentre)) {
        log.info(
            Event.of(event)
                .with("dataCentre", dataCentre)
                .with("index", view.index())
                .with("from", holder.origin().instance())
                .with("ageMillis", holder.origin().age().toMillis()));
      }
    }
  }

  /** Registers what is in force and how long ago it was last confirmed. */
  public static void registerGauges(
      FleetViewHolder holder, DaemonMetrics metrics, InstantSource clock) {
    metrics.gauge("configuration_version", () -> holder.current().configuration().version());
    metrics.gauge("evacuated_data_centres", () -> holder.current().evacuated().size());
    metrics.gauge("view_index", () -> holder.current().index());
    metrics.gauge("view_age_seconds", () -> ageSeconds(holder, clock.instant()));
  }

  private static double ageSeconds(FleetViewHolder holder, Instant now) {
    return holder
        .sinceConfirmed(now)
        .map(age -> age.toMillis() / MILLIS_PER_SECOND)
        .orElse((double) NEVER);
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

package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.Route;

/**
 * Properties of a request that are fixed when it arrives.
 *
 * @param id id of the request
 * @param organisation organisation of the caller
 * @param route requested route
 * @param fleet view that the request is pinned to; later attempts choose targets by the current
 *     view
 * @param arrival time it arrived
 * @param deadline time by which its answer must be complete
 */
public record RequestContext(
    String id,
    Organisation organisation,
    Route route,
    FleetSnapshot fleet,
    Instant arrival,
    Instant deadline) {

  public static RequestContext of(
      String id, Organisation organisation, Route route, FleetSnapshot fleet, Instant arrival) {
    return new RequestContext(
        id, organisation, route, fleet, arrival, arrival.plusMillis(route.timeoutMillis()));
  }

  Duration timeLeft(Instant now) {
    return Duration.between(now, deadline);
  }
}

package org.geraniumwharf.internal.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.DataCentreRegions;
import org.geraniumwharf.relay.RegionExclusion;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.TargetExclusion;
import org.geraniumwharf.schema.objects.Organisation;

/**
 * Keeps requests and their KV cache within the regions that their route and organisation allow.
 * Logs and counts the requests that are refused for it. Thread-safe.
 */
final class RegionRules {

  private static final String NONE = "none";

  private final Supplier<DataCentreRegions> regions;
  private final DaemonMetrics metrics;
  private final EventLog log;

  private RegionRules(Supplier<DataCentreRegions> regions, DaemonMetrics metrics, EventLog log) {
    this.regions = regions;
    this.metrics = metrics;
    this.log = log;
  }

  static RegionRules of(Supplier<DataCentreRegions> regions, DaemonMetrics metrics, EventLog log) {
    return new RegionRules(regions, metrics, log);
  }

  /** Returns the rule of placement. */
  TargetExclusion exclusion() {
    return RegionExclusion.of(regions);
  }

  /** Returns whether a request may be sent to a data centre, and its KV cache be stored there. */
  boolean allows(ResolvedRequest request, String dataCentre) {
    return regions.get().allows(request, dataCentre);
  }

  /**
   * Returns the error for a request that may be sent to none of the targets of its service because
   * of their regions. A service without targets is left to placement.
   */
  Optional<ServingException> findRefusal(ResolvedRequest request, List<RelayTarget> targets) {
    if (!DataCentreRegions.isRestricted(request)) {
      return Optional.empty();
    }
    if (DataCentreRegions.isAllowedNowhere(request)) {
      String organisation = request.organisation().map(Organisation::name).orElse(NONE);
      return refused(request, ServingErrors.noRegionAllowed(request.route().name(), organisation));
    }
    for (RelayTarget target : targets) {
      if (allows(request, target.dataCentre())) {
        return Optional.empty();
      }
    }
    return targets.isEmpty()
        ? Optional.empty()
        : refused(request, ServingErrors.noTargetInRegion(request.service().name()));
  }

  private Optional<ServingException> refused(ResolvedRequest request, ServingException error) {
    metrics.requestRefusedByRegion();
    log.info(
        Event.of("region-not-allowed")
            .with("request", request.request().id())
            .with("route", request.route().name())
            .with("routeRegions", request.route().allowedRegions())
            .with("organisation", request.organisation().map(Organisation::name).orElse(NONE))
            .with(
                "organisationRegions",
                request.organisation().map(Organisation::allowedRegions).orElse(List.of()))
            .with("cause", error.getMessage()));
    return Optional.of(error);
  }
}

package org.geraniumwharf.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.schema.objects.Organisation;

/**
 * The region of each data centre that is known, and what the lists of allowed regions of a route
 * and an organisation mean for it. A data centre without a known region is allowed for no request
 * that has such a list. Immutable.
 *
 * <pre>{@code
 * DataCentreRegions regions = DataCentreRegions.of(Map.of("dc-1", "north"));
 * boolean mayBeSent = regions.allows(request, target.dataCentre());
 * }</pre>
 */
public final class DataCentreRegions {

  private static final DataCentreRegions NONE = new DataCentreRegions(Map.of());

  private final Map<String, String> regions;

  private DataCentreRegions(Map<String, String> regions) {
    this.regions = regions;
  }

  /**
   * Returns the regions of some data centres.
   *
   * @param regions name of the region by the name of the data centre
   */
  public static DataCentreRegions of(Map<String, String> regions) {
    return new DataCentreRegions(Map.copyOf(regions));
  }

  /** Returns an instance that knows the region of no data centre. */
  public static DataCentreRegions none() {
    return NONE;
  }

  public Optional<String> regionOf(String dataCentre) {
    return Optional.ofNullable(regions.get(dataCentre));
  }

  /** Returns whether a request may be sent to a data centre, and its KV cache be stored there. */
  public boolean allows(ResolvedRequest request, String dataCentre) {
    List<String> ofRoute = request.route().allowedRegions();
    List<String> ofOrganisation = ofOrganisation(request);
    if (ofRoute.isEmpty() && ofOrganisation.isEmpty()) {
      return true;
    }
    String region = regions.get(dataCentre);
    return region != null && allows(ofRoute, region) && allows(ofOrganisation, region);
  }

  /** Returns whether the route or the organisation of a request restricts it to regions. */
  public static boolean isRestricted(ResolvedRequest request) {
    return !request.route().allowedRegions().isEmpty() || !ofOrganisation(request).isEmpty();
  }

  /** Returns whether the lists of the route and the organisation have no region in common. */
  public static boolean isAllowedNowhere(ResolvedRequest request) {
    List<String> ofRoute = request.route().allowedRegions();
    List<String> ofOrganisation = ofOrganisation(request);
    if (ofRoute.isEmpty() || ofOrganisation.isEmpty()) {
      return false;
    }
    for (String region : ofRoute) {
      if (ofOrganisation.contains(region)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a request may be served wherever another one may, as far as it follows from
   * lists that are absent or the same. Otherwise the other one need not wait behind it.
   */
  public static boolean covers(ResolvedRequest request, ResolvedRequest other) {
    return !isRestricted(request)
        || (request.route().allowedRegions().equals(other.route().allowedRegions())
            && ofOrganisation(request).equals(ofOrganisation(other)));
  }

  private static List<String> ofOrganisation(ResolvedRequest request) {
    Optional<Organisation> organisation = request.organisation();
    return organisation.isPresent() ? organisation.get().allowedRegions() : List.of();
  }

  private static boolean allows(List<String> regions, String region) {
    return regions.isEmpty() || regions.contains(region);
  }
}

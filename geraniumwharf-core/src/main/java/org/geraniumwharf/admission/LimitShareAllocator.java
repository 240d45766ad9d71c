package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.messages.OrganisationDemand;
import org.geraniumwharf.schema.messages.OrganisationShare;

/**
 * Divides the limits of organisations between the daemons that their callers use, by demand. The
 * shares in force never add up to more than the whole: a daemon's larger share is given only from
 * what the others hold no more, and a silent daemon's share is kept for it until it has certainly
 * fallen back. The first share of a daemon is at most an equal one, so that daemons whose callers
 * begin together do not find everything given away. Kept by the leader; not safe for use by several
 * threads.
 */
public final class LimitShareAllocator {

  /** Part that is divided equally, so that each daemon has a share while the others give way. */
  private static final double EQUAL_SPLIT_FRACTION = 0.05;

  /** Time after which a daemon without an answer falls back to its safe share. */
  public static final Duration VALIDITY = Duration.ofSeconds(3);

  private static final double MIN_DEMAND_REQUESTS_PER_SECOND = 0.01;

  private final Map<String, Map<String, Grant>> grants = new HashMap<>();

  private LimitShareAllocator() {}

  public static LimitShareAllocator create() {
    return new LimitShareAllocator();
  }

  /**
   * Takes the demands of one daemon and returns its shares.
   *
   * @param instances live entry instances
   */
  public List<OrganisationShare> allocate(
      String daemon, List<OrganisationDemand> demands, int instances, Instant now) {
    List<OrganisationShare> shares = new ArrayList<>();
    for (OrganisationDemand demand : demands) {
      Map<String, Grant> grantsByDaemon =
          grants.computeIfAbsent(demand.organisation(), name -> new HashMap<>());
      grantsByDaemon.values().removeIf(grant -> !now.isBefore(grant.grantedAt().plus(VALIDITY)));
      boolean isFirst = !grantsByDaemon.containsKey(daemon);
      double maxFraction =
          isFirst ? (1 - EQUAL_SPLIT_FRACTION) / Math.max(1, instances) : 1 - EQUAL_SPLIT_FRACTION;
      double fraction =
          Math.min(
              maxFraction,
              proportionalFraction(daemon, demand.requestsPerSecond(), grantsByDaemon));
      grantsByDaemon.put(
          daemon,
          new Grant(
              fraction, Math.max(MIN_DEMAND_REQUESTS_PER_SECOND, demand.requestsPerSecond()), now));
      shares.add(
          OrganisationShare.of(
              demand.organisation(), fraction + EQUAL_SPLIT_FRACTION / Math.max(1, instances)));
    }
    return shares;
  }

  private static double proportionalFraction(
      String daemon, double demand, Map<String, Grant> grantsByDaemon) {
    double otherDemand = 0;
    double otherFraction = 0;
    for (Map.Entry<String, Grant> grant : grantsByDaemon.entrySet()) {
      if (!grant.getKey().equals(daemon)) {
        otherDemand += grant.getValue().demand();
        otherFraction += grant.getValue().fraction();
      }
    }
    double own = Math.max(MIN_DEMAND_REQUESTS_PER_SECOND, demand);
    double fair = (1 - EQUAL_SPLIT_FRACTION) * own / (own + otherDemand);
    return Math.max(0, Math.min(fair, 1 - EQUAL_SPLIT_FRACTION - otherFraction));
  }

  /** Forgets organisations that no daemon asked for lately. */
  public void prune(Instant now) {
    grants
        .values()
        .forEach(
            grantsByDaemon ->
                grantsByDaemon
                    .values()
                    .removeIf(grant -> !now.isBefore(grant.grantedAt().plus(VALIDITY))));
    grants.values().removeIf(Map::isEmpty);
  }

  private record Grant(double fraction, double demand, Instant grantedAt) {}
}

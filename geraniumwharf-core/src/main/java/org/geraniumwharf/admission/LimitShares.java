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
public final class LimitShares {

  /** Part that is divided equally, so that each daemon has a share while the others give way. */
  private static final double RESERVE = 0.05;

  /** Time after which a daemon without an answer falls back to its safe share. */
  public static final Duration VALIDITY = Duration.ofSeconds(3);

  private static final double MIN_DEMAND = 0.01;

  private final Map<String, Map<String, Grant>> grants = new HashMap<>();

  private LimitShares() {}

  public static LimitShares create() {
    return new LimitShares();
  }

  /**
   * Takes the demands of one daemon and returns its shares.
   *
   * @param instances live entry instances
   */
  public List<OrganisationShare> report(
      String daemon, List<OrganisationDemand> demands, int instances, Instant now) {
    List<OrganisationShare> shares = new ArrayList<>();
    for (OrganisationDemand demand : demands) {
      Map<String, Grant> holders =
          grants.computeIfAbsent(demand.organisation(), name -> new HashMap<>());
      holders.values().removeIf(grant -> !now.isBefore(grant.at().plus(VALIDITY)));
      boolean isFirst = !holders.containsKey(daemon);
      double most = isFirst ? (1 - RESERVE) / Math.max(1, instances) : 1 - RESERVE;
      double fraction = Math.min(most, fractionFor(daemon, demand.requestsPerSecond(), holders));
      holders.put(
          daemon, new Grant(fraction, Math.max(MIN_DEMAND, demand.requestsPerSecond()), now));
      shares.add(
          OrganisationShare.of(demand.organisation(), fraction + RESERVE / Math.max(1, instances)));
    }
    return shares;
  }

  private static double fractionFor(String daemon, double demand, Map<String, Grant> holders) {
    double otherDemand = 0;
    double otherFraction = 0;
    for (Map.Entry<String, Grant> holder : holders.entrySet()) {
      if (!holder.getKey().equals(daemon)) {
        otherDemand += holder.getValue().demand();
        otherFraction += holder.getValue().fraction();
      }
    }
    double own = Math.max(MIN_DEMAND, demand);
    double fair = (1 - RESERVE) * own / (own + otherDemand);
    return Math.max(0, Math.min(fair, 1 - RESERVE - otherFraction));
  }

  /** Forgets organisations that no daemon asked for lately. */
  public void prune(Instant now) {
    grants
        .values()
        .forEach(
            holders ->
                holders.values().removeIf(grant -> !now.isBefore(grant.at().plus(VALIDITY))));
    grants.values().removeIf(Map::isEmpty);
  }

  private record Grant(double fraction, double demand, Instant at) {}
}

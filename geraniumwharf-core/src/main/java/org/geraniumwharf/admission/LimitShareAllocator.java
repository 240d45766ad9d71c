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
 * Divides each organisation's limits between entry instances in proportion to demand. The shares in
 * force never exceed the whole limit: an allocation only uses what no other daemon holds, and the
 * share of an unresponsive daemon stays reserved until it expires. The first share of a daemon is
 * at most an equal one, so that the first daemon to report does not take the whole limit when load
 * starts at several daemons at once. Used by the leader only. Not thread-safe.
 */
public final class LimitShareAllocator {

  /**
   * Fraction of each limit that is divided equally between all entry instances, so that a daemon
   * can admit requests until the others have given up part of their shares.
   */
  private static final double EQUAL_SPLIT_FRACTION = 0.05;

  /** Time after which a share expires; a daemon without an answer for so long uses an equal one. */
  public static final Duration VALIDITY = Duration.ofSeconds(3);

  private static final double MIN_DEMAND_REQUESTS_PER_SECOND = 0.01;

  private final Map<String, Map<String, Grant>> grants = new HashMap<>();

  private LimitShareAllocator() {}

  public static LimitShareAllocator create() {
    return new LimitShareAllocator();
  }

  /**
   * Allocates shares to one daemon by the demands it reports.
   *
   * @param instances number of live entry instances
   * @return one share for each demand, as a fraction of the organisation's limits
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
    double ownDemand = Math.max(MIN_DEMAND_REQUESTS_PER_SECOND, demand);
    double fairFraction = (1 - EQUAL_SPLIT_FRACTION) * ownDemand / (ownDemand + otherDemand);
    return Math.max(0, Math.min(fairFraction, 1 - EQUAL_SPLIT_FRACTION - otherFraction));
  }

  /** Removes expired shares and the organisations without any. */
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

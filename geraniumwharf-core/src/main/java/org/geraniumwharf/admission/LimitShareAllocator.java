package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.messages.OrganisationDemand;
import org.geraniumwharf.schema.messages.OrganisationShare;

/**
 * Divides each organisation's limits between entry instances: each gets what it needs for its
 * demand, and an equal part of what nobody needs, so that a daemon whose callers return after a
 * pause can admit them at once. If the demands exceed the limits, they are scaled down. The shares
 * in force never exceed the whole limit: an allocation only uses what no other daemon holds, and
 * the share of an unresponsive daemon stays reserved until it expires. The first share of a daemon
 * is at most an equal one, so that the first daemon to report does not take the whole limit when
 * load starts at several daemons at once. Used by the leader only. Not thread-safe.
 */
public final class LimitShareAllocator {

  /**
   * Fraction of each limit that is divided equally between all entry instances, so that a daemon
   * can admit requests until the others have given up part of their shares.
   */
  private static final double EQUAL_SPLIT_FRACTION = 0.05;

  /** Time after which a share expires; a daemon without an answer for so long uses an equal one. */
  public static final Duration VALIDITY = Duration.ofSeconds(3);

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
      boolean isFirst = grantsByDaemon.remove(daemon) == null;
      double fraction =
          fraction(
              demand.limitFraction(), isFirst, grantsByDaemon.values(), Math.max(1, instances));
      grantsByDaemon.put(daemon, new Grant(fraction, demand.limitFraction(), now));
      shares.add(OrganisationShare.of(demand.organisation(), fraction));
    }
    return shares;
  }

  private static double fraction(
      double demand, boolean isFirst, Collection<Grant> others, int instances) {
    double minFraction = EQUAL_SPLIT_FRACTION / instances;
    double allDemands = demand + others.stream().mapToDouble(Grant::demand).sum();
    double scale = Math.min(1, (1 - EQUAL_SPLIT_FRACTION) / allDemands);
    double needed = demand * scale + (1 - allDemands * scale) / instances;
    double wanted = isFirst ? Math.min(needed, 1.0 / instances) : needed;

    int withoutGrant = Math.max(0, instances - 1 - others.size());
    double heldByOthers = others.stream().mapToDouble(Grant::fraction).sum();
    double available = 1 - heldByOthers - withoutGrant * minFraction;
    return Math.max(minFraction, Math.min(wanted, available));
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

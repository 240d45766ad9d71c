package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.checks.Checks;
import org.geraniumwharf.schema.messages.OrganisationDemand;
import org.geraniumwharf.schema.messages.OrganisationShare;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.OrganisationLimits;

/**
 * Applies this daemon's share of each organisation's limits. The leader gives shares by demand; a
 * daemon that the leader has not answered, for this organisation or at all, uses an equal share.
 * Safe for use by several threads; its lock is never held while another is taken.
 */
public final class OrganisationLimiter {

  private static final Duration BURST = Duration.ofMillis(500);
  private static final Duration IDLE = Duration.ofSeconds(10);
  private static final Duration RETRY_CONCURRENCY = Duration.ofMillis(200);
  private static final OrganisationLimits DEFAULT_LIMITS =
      OrganisationLimits.of(1000, 1_000_000, 1000);

  private final Map<String, Usage> usages = new HashMap<>();
  private int entryInstances = 1;
  private Instant answeredAt = Instant.MIN;
  private Instant demandsTakenAt = Instant.MIN;

  private OrganisationLimiter() {}

  public static OrganisationLimiter create() {
    return new OrganisationLimiter();
  }

  /** Takes the leader's answer: the number of live entry instances and the shares of this one. */
  public synchronized void answered(int instances, List<OrganisationShare> shares, Instant now) {
    entryInstances = Checks.checkPositive(instances, "instances");
    answeredAt = now;
    for (OrganisationShare share : shares) {
      Usage usage = usages.get(share.organisation());
      if (usage != null) {
        usage.fraction = share.fraction();
        usage.isShared = true;
      }
    }
  }

  /** Returns the number of live entry instances that the leader told last. */
  public synchronized int entryInstances() {
    return entryInstances;
  }

  /** Returns the demand since the last call, and forgets organisations that are idle. */
  public synchronized List<OrganisationDemand> takeDemands(Instant now) {
    double seconds =
        demandsTakenAt.equals(Instant.MIN)
            ? 1
            : Math.max(0.001, Duration.between(demandsTakenAt, now).toMillis() / 1000.0);
    demandsTakenAt = now;
    usages
        .values()
        .removeIf(usage -> usage.inFlight == 0 && !now.isBefore(usage.askedAt.plus(IDLE)));
    List<OrganisationDemand> demands = new ArrayList<>();
    usages.forEach(
        (name, usage) -> {
          usage.demand = (usage.demand + usage.offered / seconds) / 2;
          usage.offered = 0;
          demands.add(OrganisationDemand.of(name, usage.demand));
        });
    return demands;
  }

  /**
   * Takes one request and its tokens from the limits of an organisation.
   *
   * @throws ServingException if a limit is exhausted; nothing is taken then
   */
  public synchronized void acquire(Organisation organisation, int tokens, Instant now)
      throws ServingException {
    OrganisationLimits limits = organisation.limits().orElse(DEFAULT_LIMITS);
    Usage usage = usages.computeIfAbsent(organisation.name(), name -> new Usage());
    usage.offered++;
    usage.askedAt = now;
    usage.apply(limits, fractionOf(usage, now), now);
    if (usage.inFlight >= usage.concurrency) {
      throw ServingErrors.limitExceeded(
          organisation.name(), "concurrency limit", RETRY_CONCURRENCY);
    }
    if (!usage.requests.tryTake(1, now)) {
      Duration wait = usage.requests.waitFor(1, now);
      throw ServingErrors.limitExceeded(organisation.name(), "request rate limit", wait);
    }
    if (!usage.tokens.tryTake(tokens, now)) {
      usage.requests.giveBack(1);
      Duration wait = usage.tokens.waitFor(tokens, now);
      throw ServingErrors.limitExceeded(organisation.name(), "token rate limit", wait);
    }
    usage.inFlight++;
  }

  /** Ends a request that {@link #acquire} admitted. */
  public synchronized void release(Organisation organisation) {
    Usage usage = usages.get(organisation.name());
    if (usage != null && usage.inFlight > 0) {
      usage.inFlight--;
    }
  }

  private double fractionOf(Usage usage, Instant now) {
    boolean isAnswered =
        !answeredAt.equals(Instant.MIN) && now.isBefore(answeredAt.plus(LimitShares.VALIDITY));
    if (!isAnswered || entryInstances == 1) {
      return 1.0 / entryInstances;
    }
    return usage.isShared ? usage.fraction : 1.0 / entryInstances;
  }

  private static final class Usage {

    private TokenBucket requests;
    private TokenBucket tokens;
    private int concurrency;
    private double requestRate;
    private double tokenRate;
    private double fraction;
    private boolean isShared;
    private int inFlight;
    private long offered;
    private double demand;
    private Instant askedAt = Instant.MIN;

    void apply(OrganisationLimits limits, double share, Instant now) {
      double part = Math.max(share, 1e-6);
      double newRequestRate = limits.requestsPerSecond() * part;
      double newTokenRate = limits.tokensPerSecond() * part;
      concurrency = Math.max(1, (int) (limits.concurrency() * part));
      if (requests == null) {
        requests = TokenBucket.full(newRequestRate, BURST, now);
        tokens = TokenBucket.full(newTokenRate, BURST, now);
      } else if (newRequestRate != requestRate || newTokenRate != tokenRate) {
        requests.changeRate(newRequestRate, BURST, now);
        tokens.changeRate(newTokenRate, BURST, now);
      }
      requestRate = newRequestRate;
      tokenRate = newTokenRate;
    }
  }
}

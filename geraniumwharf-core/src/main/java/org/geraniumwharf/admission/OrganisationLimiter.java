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
 * Enforces this daemon's share of each organisation's limits. The leader allocates shares by
 * demand. Without a share for the organisation, or without a response from the leader within {@link
 * LimitShareAllocator#VALIDITY}, the daemon uses an equal share. Thread-safe; no other lock is
 * acquired while its lock is held.
 */
public final class OrganisationLimiter {

  private static final Duration BURST_WINDOW = Duration.ofMillis(500);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(200);
  private static final OrganisationLimits DEFAULT_LIMITS =
      OrganisationLimits.of(1000, 1_000_000, 1000);

  private final Map<String, Usage> usages = new HashMap<>();
  private int entryInstances = 1;
  private Instant sharesReceivedAt = Instant.MIN;
  private Instant demandsDrainedAt = Instant.MIN;

  private OrganisationLimiter() {}

  public static OrganisationLimiter create() {
    return new OrganisationLimiter();
  }

  /**
   * Applies a heartbeat answer of the leader.
   *
   * @param instances number of live entry instances, at least 1
   * @param shares shares of this daemon
   */
  public synchronized void applyShares(int instances, List<OrganisationShare> shares, Instant now) {
    entryInstances = Checks.checkPositive(instances, "instances");
    sharesReceivedAt = now;
    for (OrganisationShare share : shares) {
      Usage usage = usages.get(share.organisation());
      if (usage != null) {
        usage.assignedFraction = share.fraction();
        usage.hasAssignedFraction = true;
      }
    }
  }

  /** Returns the number of live entry instances in the last answer of the leader. */
  public synchronized int entryInstances() {
    return entryInstances;
  }

  /**
   * Returns the smoothed demand of each organisation and starts a new measurement interval. Idle
   * organisations are evicted.
   */
  public synchronized List<OrganisationDemand> drainDemands(Instant now) {
    double seconds =
        demandsDrainedAt.equals(Instant.MIN)
            ? 1
            : Math.max(0.001, Duration.between(demandsDrainedAt, now).toMillis() / 1000.0);
    demandsDrainedAt = now;
    usages
        .values()
        .removeIf(
            usage -> usage.inFlight == 0 && !now.isBefore(usage.lastRequestAt.plus(IDLE_TIMEOUT)));
    List<OrganisationDemand> demands = new ArrayList<>();
    usages.forEach(
        (name, usage) -> {
          usage.measure(seconds);
          demands.add(
              OrganisationDemand.of(name, usage.requestsPerSecond, usage.demandedFraction()));
        });
    return demands;
  }

  /**
   * Acquires one request and its tokens from the limits of an organisation.
   *
   * @throws ServingException if a limit is exceeded; nothing is acquired then
   */
  public synchronized void acquire(Organisation organisation, int tokens, Instant now)
      throws ServingException {
    OrganisationLimits limits = organisation.limits().orElse(DEFAULT_LIMITS);
    Usage usage = usages.computeIfAbsent(organisation.name(), name -> new Usage());
    usage.offeredRequests++;
    usage.offeredTokens += tokens;
    usage.lastRequestAt = now;
    usage.applyLimits(limits, effectiveFraction(usage, now), now);
    if (usage.inFlight >= usage.concurrency) {
      throw ServingErrors.limitExceeded(
          organisation.name(), "concurrency limit", CONCURRENCY_RETRY_AFTER);
    }
    if (!usage.requests.tryConsume(1, now)) {
      Duration wait = usage.requests.timeUntilAvailable(1, now);
      throw ServingErrors.limitExceeded(organisation.name(), "request rate limit", wait);
    }
    if (!usage.tokens.tryConsume(tokens, now)) {
      usage.requests.refund(1);
      Duration wait = usage.tokens.timeUntilAvailable(tokens, now);
      throw ServingErrors.limitExceeded(organisation.name(), "token rate limit", wait);
    }
    usage.inFlight++;
  }

  /** Frees the concurrency slot of a request that {@link #acquire} admitted. */
  public synchronized void release(Organisation organisation) {
    Usage usage = usages.get(organisation.name());
    if (usage != null && usage.inFlight > 0) {
      usage.inFlight--;
    }
  }

  private double effectiveFraction(Usage usage, Instant now) {
    boolean hasCurrentShares =
        !sharesReceivedAt.equals(Instant.MIN)
            && now.isBefore(sharesReceivedAt.plus(LimitShareAllocator.VALIDITY));
    if (!hasCurrentShares || entryInstances == 1) {
      return 1.0 / entryInstances;
    }
    return usage.hasAssignedFraction ? usage.assignedFraction : 1.0 / entryInstances;
  }

  private static final class Usage {

    private OrganisationLimits limits = DEFAULT_LIMITS;
    private TokenBucket requests;
    private TokenBucket tokens;
    private int concurrency;
    private double requestRate;
    private double tokenRate;
    private double assignedFraction;
    private boolean hasAssignedFraction;
    private int inFlight;
    private long offeredRequests;
    private long offeredTokens;
    private double requestsPerSecond;
    private double tokensPerSecond;
    private Instant lastRequestAt = Instant.MIN;

    /** Adds what was offered over the last interval to the smoothed demand. */
    void measure(double seconds) {
      requestsPerSecond = (requestsPerSecond + offeredRequests / seconds) / 2;
      tokensPerSecond = (tokensPerSecond + offeredTokens / seconds) / 2;
      offeredRequests = 0;
      offeredTokens = 0;
    }

    /** Returns the part of the limits that would do for the demand. */
    double demandedFraction() {
      double ofRates =
          Math.max(
              requestsPerSecond / limits.requestsPerSecond(),
              tokensPerSecond / limits.tokensPerSecond());
      return Math.max(ofRates, (double) inFlight / limits.concurrency());
    }

    void applyLimits(OrganisationLimits newLimits, double fraction, Instant now) {
      limits = newLimits;
      double boundedFraction = Math.max(fraction, 1e-6);
      double newRequestRate = limits.requestsPerSecond() * boundedFraction;
      double newTokenRate = limits.tokensPerSecond() * boundedFraction;
      concurrency = Math.max(1, (int) (limits.concurrency() * boundedFraction));
      if (requests == null) {
        requests = TokenBucket.full(newRequestRate, BURST_WINDOW, now);
        tokens = TokenBucket.full(newTokenRate, BURST_WINDOW, now);
      } else if (newRequestRate != requestRate || newTokenRate != tokenRate) {
        requests.changeRate(newRequestRate, BURST_WINDOW, now);
        tokens.changeRate(newTokenRate, BURST_WINDOW, now);
      }
      requestRate = newRequestRate;
      tokenRate = newTokenRate;
    }
  }
}

package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Load that this instance has in flight at each target, load that other instances reported, and the
 * health and availability of each target. Safe for use by several threads; no other lock than that
 * of the permits is taken while its lock is held.
 */
public final class RelayLoadTable {

  /** Age up to which reported load is a better estimate than none. */
  private static final Duration REMOTE_LOAD_VALIDITY = Duration.ofMillis(1500);

  private static final TargetWork NO_LOAD = TargetWork.of("", 0, 0, 0);

  private final Map<String, Entry> entries = new HashMap<>();
  private final TargetAvailability availability;
  private final TargetPermits permits;
  private Instant remoteLoadExpiresAt = Instant.MIN;

  private RelayLoadTable(TargetAvailability availability, TargetPermits permits) {
    this.availability = availability;
    this.permits = permits;
  }

  /**
   * Creates the table of an instance.
   *
   * @param instance name of the instance
   */
  public static RelayLoadTable forInstance(String instance) {
    return create(instance, TargetPermits.create(instance, () -> {}));
  }

  /**
   * Creates the table of an instance.
   *
   * @param instance name of the instance
   * @param permits permits for targets with a limit
   */
  public static RelayLoadTable create(String instance, TargetPermits permits) {
    return new RelayLoadTable(TargetAvailability.forInstance(instance), permits);
  }

  /**
   * Load of one target.
   *
   * @param inFlight requests in flight at the target from all instances that reported their load
   * @param footprint tokens that they occupy in its memory
   * @param backlogMillis time until each of them has its first token, ms
   * @param hasRemoteReport whether the remote load is recent enough to be included; otherwise only
   *     the local load is counted
   * @param cachedTokens tokens of the prompt that the target probably has cached
   * @param closed exclusion by what the target announced in its responses
   * @param ejected exclusion because of recent failures or rejections
   * @param probeFrom time from which the target, if it is ejected, may get one request nevertheless
   * @param isIdle whether this instance has no request at the target
   * @param atLimit exclusion because the target has a limit and no request to it is permitted now
   */
  public record Load(
      int inFlight,
      long footprint,
      long backlogMillis,
      boolean hasRemoteReport,
      int cachedTokens,
      Optional<Exclusion> closed,
      Optional<Exclusion> ejected,
      Instant probeFrom,
      boolean isIdle,
      Optional<Exclusion> atLimit) {

    /** Returns whether the target, if it is ejected, may get one request nevertheless. */
    boolean mayBeProbed(Instant now) {
      return isIdle && !now.isBefore(probeFrom);
    }
  }

  /** Returns what this instance knows of the limits of targets. */
  public TargetPermits permits() {
    return permits;
  }

  /** Returns the load of a target for one request. */
  public Load load(RelayTarget target, ResolvedRequest resolved, Instant now) {
    EngineRates noRates = new EngineRates(1, 1);
    return loads(new PlacementQuery(resolved, List.of(target), Set.of(), 1, 0, noRates, now))[0];
  }

  /** Returns the load of each target of a query, in order. */
  synchronized Load[] loads(PlacementQuery query) {
    Instant now = query.now();
    boolean hasRemoteReport = now.isBefore(remoteLoadExpiresAt);
    boolean isAnyLimited = permits.isAnyLimited();
    List<RelayTarget> targets = query.targets();
    Load[] loads = new Load[targets.size()];
    for (int i = 0; i < loads.length; i++) {
      loads[i] = load(query, targets.get(i), hasRemoteReport, isAnyLimited, now);
    }
    return loads;
  }

  private Load load(
      PlacementQuery query,
      RelayTarget target,
      boolean hasRemoteReport,
      boolean isAnyLimited,
      Instant now) {
    Entry entry = entry(target.id());
    TargetWork remote = hasRemoteReport ? entry.remote : NO_LOAD;
    return new Load(
        entry.inFlight + remote.requests(),
        entry.footprint + remote.tokens(),
        entry.backlogMillis + remote.backlogMillis(),
        hasRemoteReport,
        cachedTokens(query, target, entry.parts),
        availability.exclusion(target, entry.inFlight, now),
        entry.health.exclusion(now),
        entry.health.probeFrom(),
        entry.inFlight == 0,
        isAnyLimited ? limitExclusion(target, now) : Optional.empty());
  }

  private static int cachedTokens(PlacementQuery query, RelayTarget target, CachedParts parts) {
    return !query.isGeneration() || parts.isEmpty()
        ? 0
        : parts.cachedTokens(query.partKeys().at(target), query.request().request().prompt());
  }

  private Optional<Exclusion> limitExclusion(RelayTarget target, Instant now) {
    return permits.isAvailable(target.id(), target.incarnation(), now)
        ? Optional.empty()
        : Exclusion.until(
            Exclusion.Reason.NO_PERMIT, permits.earliestAt(target.id(), target.incarnation(), now));
  }

  /** Returns the load of this instance, as it is reported to the other instances. */
  public synchronized List<TargetWork> localLoad() {
    List<TargetWork> local = new ArrayList<>();
    entries.forEach(
        (target, entry) -> {
          if (entry.inFlight > 0) {
            local.add(TargetWork.of(target, entry.inFlight, entry.footprint, entry.backlogMillis));
          }
        });
    return local;
  }

  /** Replaces the remote load by the sum that all other instances reported. */
  public synchronized void setRemoteLoad(List<TargetWork> work, Instant now) {
    for (Entry entry : entries.values()) {
      entry.remote = NO_LOAD;
    }
    for (TargetWork load : work) {
      entry(load.target()).remote = load;
    }
    remoteLoadExpiresAt = now.plus(REMOTE_LOAD_VALIDITY);
  }

  /**
   * Records that a request is being sent to a target, which will cache its prompt.
   *
   * @param backlogMillis time until the first token, ms
   */
  public synchronized InFlightRequest recordSent(
      RelayTarget target, ResolvedRequest resolved, long backlogMillis) {
    InFlightRequest sent =
        new InFlightRequest(
            target.id(), resolved.isGeneration() ? resolved.footprint() : 0, backlogMillis);
    Entry entry = entry(sent.target);
    entry.inFlight++;
    entry.footprint += sent.footprint;
    entry.backlogMillis += sent.backlogMillis;
    if (resolved.isGeneration()) {
      long capacity = resolved.service().engine().orElseThrow().cacheTokens();
      entry.parts.add(resolved.cacheScope(target), resolved.request().prompt(), capacity);
    }
    return sent;
  }

  /** Records the first token of a request, which is no longer part of the backlog from then on. */
  public synchronized void recordFirstToken(InFlightRequest sent) {
    entry(sent.target).backlogMillis -= sent.backlogMillis;
    sent.backlogMillis = 0;
  }

  /** Records the end of a request that {@link #recordSent} counted. */
  public synchronized void recordEnded(InFlightRequest sent) {
    Entry entry = entry(sent.target);
    entry.inFlight--;
    entry.footprint -= sent.footprint;
    entry.backlogMillis -= sent.backlogMillis;
    sent.backlogMillis = 0;
  }

  public synchronized void recordSuccess(String target) {
    entry(target).health.recordSuccess();
  }

  public synchronized void recordFailure(String target, Instant now) {
    entry(target).health.recordFailure(now);
  }

  public synchronized void recordRejection(String target, Instant now) {
    entry(target).health.recordRejection(now);
  }

  public synchronized void recordUnreachable(String target, Instant now) {
    entry(target).health.recordUnreachable(now);
  }

  /**
   * Records what a target states in a response about further requests.
   *
   * @return whether the notice closes the target, which accepted requests before
   */
  public synchronized boolean recordNotice(RelayTarget target, TargetNotice notice, Instant now) {
    return availability.recordNotice(target, notice, now);
  }

  /** Returns whether a target is leaving or pauses, so that nothing may be sent to it. */
  public synchronized boolean isClosed(RelayTarget target, Instant now) {
    return availability.isClosed(target, now);
  }

  /** Returns the time at which the reports of the other instances are too old to be counted. */
  synchronized Instant remoteLoadExpiresAt() {
    return remoteLoadExpiresAt;
  }

  /** Records that a request waits for permits of those of some targets that are at their limits. */
  public void addWaiting(Collection<RelayTarget> targets, String requestId, Instant now) {
    targets.forEach(
        target -> permits.addWaiting(target.id(), target.incarnation(), requestId, now));
  }

  /** Removes all parts cached at a target, which no longer apply once it has loaded new weights. */
  public synchronized void clearCachedParts(String target) {
    entry(target).parts.clear();
  }

  /** Removes targets that are not in the given set, except those with requests in flight. */
  public synchronized void retainTargets(Set<String> targets, Instant now) {
    availability.retainTargets(targets, now);
    permits.retainTargets(targets, now);
    entries
        .entrySet()
        .removeIf(entry -> entry.getValue().inFlight == 0 && !targets.contains(entry.getKey()));
  }

  private Entry entry(String target) {
    Entry known = entries.get(target);
    if (known != null) {
      return known;
    }
    Entry created = new Entry();
    entries.put(target, created);
    return created;
  }

  /** A request in flight at a target. Guarded by the lock of its table. */
  public static final class InFlightRequest {

    private final String target;
    private final long footprint;
    private long backlogMillis;

    private InFlightRequest(String target, long footprint, long backlogMillis) {
      this.target = target;
      this.footprint = footprint;
      this.backlogMillis = backlogMillis;
    }
  }

  private static final class Entry {

    private final TargetHealth health = new TargetHealth();
    private final CachedParts parts = new CachedParts();
    private TargetWork remote = NO_LOAD;
    private int inFlight;
    private long footprint;
    private long backlogMillis;
  }
}

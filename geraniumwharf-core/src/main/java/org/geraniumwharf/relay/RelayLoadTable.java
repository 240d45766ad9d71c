package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
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
  private final Map<String, TargetWork> remoteLoad = new HashMap<>();
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
   * @param isEjected whether the target gets no requests because of recent failures or rejections
   * @param mayBeProbed whether the target, if it is ejected, may get one request nevertheless
   * @param isAccepting whether the target has not announced in its responses that it is leaving or
   *     wants no requests
   * @param hasPermit whether the target has no limit or a request to it is permitted now
   */
  public record Load(
      int inFlight,
      long footprint,
      long backlogMillis,
      boolean hasRemoteReport,
      int cachedTokens,
      boolean isEjected,
      boolean mayBeProbed,
      boolean isAccepting,
      boolean hasPermit) {}

  /** Returns what this instance knows of the limits of targets. */
  public TargetPermits permits() {
    return permits;
  }

  /** Returns the load of a target for one request. */
  public synchronized Load load(RelayTarget target, ResolvedRequest resolved, Instant now) {
    Entry entry = entry(target.id());
    int cachedTokens =
        resolved.isGeneration()
            ? entry.parts.cachedTokens(resolved.cacheScope(target), resolved.request().prompt())
            : 0;
    boolean hasRemoteReport = now.isBefore(remoteLoadExpiresAt);
    TargetWork remote = hasRemoteReport ? remoteLoad.getOrDefault(target.id(), NO_LOAD) : NO_LOAD;
    return new Load(
        entry.inFlight + remote.requests(),
        entry.footprint + remote.tokens(),
        entry.backlogMillis + remote.backlogMillis(),
        hasRemoteReport,
        cachedTokens,
        entry.health.isEjected(now),
        entry.inFlight == 0 && entry.health.mayBeProbed(now),
        availability.isAccepting(target, entry.inFlight, now),
        permits.isAvailable(target.id(), target.incarnation(), now));
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
    remoteLoad.clear();
    work.forEach(load -> remoteLoad.put(load.target(), load));
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

  /**
   * Returns when the first of some targets is expected to accept a request and to have a permit for
   * it; empty if all are leaving.
   */
  public synchronized Optional<Instant> opensAt(
      Collection<RelayTarget> targets, String requestId, Instant now) {
    return firstOpening(
        targets,
        target -> permits.expectedAt(target.id(), target.incarnation(), requestId, now),
        now);
  }

  /**
   * Returns the time before which none of some targets gets a request that waits; empty if all are
   * leaving.
   */
  public synchronized Optional<Instant> earliestAt(Collection<RelayTarget> targets, Instant now) {
    return firstOpening(
        targets, target -> permits.earliestAt(target.id(), target.incarnation(), now), now);
  }

  private Optional<Instant> firstOpening(
      Collection<RelayTarget> targets, Function<RelayTarget, Instant> permittedAt, Instant now) {
    return targets.stream()
        .map(
            target ->
                availability
                    .opensAt(target, now)
                    .map(opensAt -> later(opensAt, permittedAt.apply(target))))
        .flatMap(Optional::stream)
        .min(Comparator.naturalOrder());
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
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
    return entries.computeIfAbsent(target, name -> new Entry());
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
    private int inFlight;
    private long footprint;
    private long backlogMillis;
  }
}

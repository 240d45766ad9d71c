package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.geraniumwharf.limit.TargetPermits;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Load that this instance has in flight at each target, load that other instances reported, and the
 * health and availability of each target. Safe for use by several threads; no other lock than those
 * of the permits and of the cold targets is taken while its lock is held.
 */
public final class RelayLoadTable {

  /** Age up to which reported load is a better estimate than none. */
  private static final Duration REMOTE_LOAD_VALIDITY = Duration.ofMillis(1500);

  /** Contexts of a service whose preferred targets are kept. */
  private static final int MAX_CONTEXTS = 1000;

  /** Services whose response times are kept. */
  private static final int MAX_SERVICES = 1000;

  private static final TargetWork NO_LOAD = TargetWork.of("", 0, 0, 0);

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final PartIndex partIndex = new PartIndex();
  private final Map<String, ServiceTimes> times = new HashMap<>();
  private final TargetAvailability availability;
  private final TargetPermits permits;
  private final ColdTargets cold;
  private Instant remoteLoadExpiresAt = Instant.MIN;
  private Instant sharedSpeedsExpireAt = Instant.MIN;
  private long changes;
  private long ends;
  private boolean isLearning;

  private RelayLoadTable(TargetAvailability availability, TargetPermits permits, ColdTargets cold) {
    this.availability = availability;
    this.permits = permits;
    this.cold = cold;
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
    return create(instance, permits, ColdTargets.unlimited());
  }

  /**
   * Creates the table of an instance.
   *
   * @param instance name of the instance
   * @param permits permits for targets with a limit
   * @param cold cold targets
   */
  public static RelayLoadTable create(String instance, TargetPermits permits, ColdTargets cold) {
    return new RelayLoadTable(TargetAvailability.forInstance(instance), permits, cold);
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
   * @param learned what was learned of the target
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
      Optional<Exclusion> atLimit,
      LearnedLoad learned) {

    /** Returns whether the target, if it is ejected, may get one request nevertheless. */
    boolean mayBeProbed(Instant now) {
      return isIdle && !now.isBefore(probeFrom);
    }
  }

  /** Starts to learn the speeds of targets and the costs of requests. */
  public synchronized void startLearning() {
    isLearning = true;
  }

  /** Returns what this instance knows of the limits of targets. */
  public TargetPermits permits() {
    return permits;
  }

  /** Returns what this instance knows of cold targets. */
  public ColdTargets cold() {
    return cold;
  }

  /** Returns the load of a target for one request. */
  public synchronized Load load(RelayTarget target, ResolvedRequest resolved, Instant now) {
    EngineRates noRates = new EngineRates(1, 1);
    List<RelayTarget> targets = List.of(target);
    PlacementQuery query = new PlacementQuery(resolved, targets, Set.of(), 1, 0, noRates, now);
    return new View(query, group(targets)).load(0);
  }

  /** Returns the loads of the targets of a query, which are computed as they are needed. */
  synchronized View view(PlacementQuery query) {
    String service = query.request().service().name();
    Group group = groups.get(service);
    if (group == null || group.targets != query.targets()) {
      group = group(query.targets());
      groups.put(service, group);
    }
    return new View(query, group);
  }

  private Group group(List<RelayTarget> targets) {
    Entry[] found = new Entry[targets.size()];
    long[] hashes = new long[found.length];
    boolean isOfOneVersion = true;
    for (int i = 0; i < found.length; i++) {
      found[i] = entry(targets.get(i).id());
      hashes[i] = targets.get(i).hash();
      isOfOneVersion &= targets.get(i).weightsVersion() == targets.get(0).weightsVersion();
    }
    return new Group(targets, found, hashes, isOfOneVersion);
  }

  /** What is found once for each list of targets of a service. */
  private static final class Group {

    private final List<RelayTarget> targets;
    private final Entry[] entries;
    private final long[] hashes;
    private final boolean isOfOneVersion;
    private final Map<String, Integer> preferredByContext = new HashMap<>();

    private Group(
        List<RelayTarget> targets, Entry[] entries, long[] hashes, boolean isOfOneVersion) {
      this.targets = targets;
      this.entries = entries;
      this.hashes = hashes;
      this.isOfOneVersion = isOfOneVersion;
    }

    /** Finds the preferred target of a query, once for each context. */
    private void findPreferred(PlacementQuery query) {
      String context = query.context();
      Integer known = preferredByContext.get(context);
      if (known != null) {
        query.setPreferredIndex(known);
        return;
      }
      if (preferredByContext.size() >= MAX_CONTEXTS) {
        preferredByContext.clear();
      }
      preferredByContext.put(context, query.preferredIndex());
    }
  }

  /** Loads of the targets of one query. */
  final class View {

    private final PlacementQuery query;
    private final Group group;
    private final boolean hasRemoteReport;
    private final boolean hasSharedSpeeds;
    private final boolean isAnyLimited;
    private final int[] cachedTokens;

    private View(PlacementQuery query, Group group) {
      this.query = query;
      this.group = group;
      this.hasRemoteReport = query.now().isBefore(remoteLoadExpiresAt);
      this.hasSharedSpeeds = query.now().isBefore(sharedSpeedsExpireAt);
      this.isAnyLimited = permits.isAnyLimited();
      this.cachedTokens = new int[group.entries.length];
      if (query.isGeneration() && cachedTokens.length > 0) {
        findCachedTokens();
        group.findPreferred(query);
      }
    }

    private void findCachedTokens() {
      List<PromptPart> parts = query.request().request().prompt();
      PartKeys keys = query.partKeys();
      if (group.isOfOneVersion) {
        long search = partIndex.search(keys.at(group.targets.get(0)), parts);
        for (int i = 0; i < cachedTokens.length; i++) {
          cachedTokens[i] = group.entries[i].parts.foundTokens(search);
        }
      } else {
        for (int i = 0; i < cachedTokens.length; i++) {
          List<String> keysAtTarget = keys.at(group.targets.get(i));
          cachedTokens[i] = group.entries[i].parts.cachedTokens(keysAtTarget, parts);
        }
      }
    }

    /** Returns the tokens of the prompt that the target with an index probably has cached. */
    int cachedTokens(int index) {
      return cachedTokens[index];
    }

    /** Returns the hash of the id of the target with an index. */
    long hash(int index) {
      return group.hashes[index];
    }

    private LearnedLoad learned(Entry entry, Instant now) {
      if (query.isGeneration()) {
        return entry.learned.engineLoad(hasSharedSpeeds, now);
      }
      double responseMillis = times(query.request()).meanMillis();
      return entry.learned.plainLoad(
          entry.inFlight, hasRemoteReport, hasSharedSpeeds, responseMillis, now);
    }

    /** Returns the load of the target with an index. */
    Load load(int index) {
      synchronized (RelayLoadTable.this) {
        RelayTarget target = query.targets().get(index);
        Entry entry = group.entries[index];
        TargetWork remote = hasRemoteReport ? entry.remote : NO_LOAD;
        Instant now = query.now();
        return new Load(
            entry.inFlight + remote.requests(),
            entry.footprint + remote.tokens(),
            backlogMillis(entry, now) + remote.backlogMillis(),
            hasRemoteReport,
            cachedTokens(index),
            availability.exclusion(target, entry.inFlight, now),
            entry.health.exclusion(now),
            entry.health.probeFrom(),
            entry.inFlight == 0,
            isAnyLimited ? limitExclusion(target, now) : Optional.empty(),
            isLearning ? learned(entry, now) : LearnedLoad.NONE);
      }
    }
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

  /** Returns the load of this instance as of a time, as it is reported to the other instances. */
  public synchronized List<TargetWork> localLoad(Instant now) {
    List<TargetWork> local = new ArrayList<>();
    entries.forEach(
        (target, entry) -> {
          if (entry.inFlight > 0) {
            long backlogMillis = backlogMillis(entry, now);
            local.add(TargetWork.of(target, entry.inFlight, entry.footprint, backlogMillis));
          }
        });
    return local;
  }

  /** Returns the remaining work of this instance until each request has its first token, ms. */
  private long backlogMillis(Entry entry, Instant now) {
    if (!isLearning || entry.backlogMillis == 0) {
      return entry.backlogMillis;
    }
    double done = entry.learned.doneMillis(now.isBefore(sharedSpeedsExpireAt), now);
    return Math.max(0, Math.round(entry.backlogMillis - done));
  }

  /** Returns the times that this instance measured since the last report of them. */
  public synchronized List<TargetSpeed> takeSpeeds(Instant now) {
    List<TargetSpeed> speeds = new ArrayList<>();
    if (isLearning) {
      entries.forEach(
          (target, entry) -> entry.learned.takeSpeed(target, now).ifPresent(speeds::add));
    }
    return speeds;
  }

  /**
   * Replaces the speeds of targets by those that the leader has of all instances.
   *
   * @param speeds speeds of the targets that are slower or faster than others
   */
  public synchronized void setSharedSpeeds(List<TargetSpeed> speeds, Instant now) {
    if (!isLearning) {
      return;
    }
    entries.values().forEach(entry -> entry.learned.clearSharedSpeed());
    for (TargetSpeed speed : speeds) {
      entry(speed.target()).learned.setSharedSpeed(speed);
    }
    sharedSpeedsExpireAt = now.plus(REMOTE_LOAD_VALIDITY);
  }

  /** Replaces the remote load by the sum that all other instances reported. */
  public synchronized void setRemoteLoad(List<TargetWork> work, Instant now) {
    for (Entry entry : entries.values()) {
      entry.remote = NO_LOAD;
    }
    for (TargetWork load : work) {
      entry(load.target()).remote = load;
    }
    if (isLearning) {
      entries.values().forEach(entry -> entry.learned.recordReport(entry.remote.requests(), now));
    }
    remoteLoadExpiresAt = now.plus(REMOTE_LOAD_VALIDITY);
    changes++;
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
      List<PromptPart> prompt = resolved.request().prompt();
      entry.parts.add(CachedParts.keys(resolved.cacheScope(target), prompt), prompt, capacity);
    }
    return sent;
  }

  /** Records that a request is being sent to the target that was chosen for it. */
  public synchronized InFlightRequest recordSent(
      RelayPlacement.Choice choice, ResolvedRequest resolved, Instant now) {
    InFlightRequest sent = recordSent(choice.target(), resolved, choice.firstTokenMillis());
    // Only streams show their first token; a whole response would look like a late one.
    boolean hasFirstToken = resolved.isGeneration() && resolved.isStream();
    if (isLearning && hasFirstToken && choice.firstTokenMillis() > 0) {
      sent.sentAtMillis = now.toEpochMilli();
      sent.service = times(resolved);
      sent.backlogAheadMillis = choice.load().backlogMillis();
      entry(sent.target).learned.recordSent(sent);
    }
    return sent;
  }

  /**
   * Records the first token of a request, and learns the speed of its target from it.
   *
   * @return the time that was expected until it, ms; empty if none was
   */
  public synchronized OptionalDouble recordFirstToken(InFlightRequest sent, Instant now) {
    OptionalDouble expected = OptionalDouble.empty();
    if (isLearning && sent.isAwaited()) {
      expected = OptionalDouble.of(sent.expectedMillis());
      entry(sent.target).learned.recordFirstToken(sent, now);
    }
    recordFirstToken(sent);
    return expected;
  }

  /** Records the first token of a request, which is no longer part of the backlog from then on. */
  public synchronized void recordFirstToken(InFlightRequest sent) {
    entry(sent.target).backlogMillis -= sent.backlogMillis;
    sent.backlogMillis = 0;
  }

  /** Records the end of a request that {@link #recordSent} counted. */
  public synchronized void recordEnded(InFlightRequest sent) {
    Entry entry = entry(sent.target);
    ends++;
    entry.inFlight--;
    entry.footprint -= sent.footprint;
    entry.backlogMillis -= sent.backlogMillis;
    if (sent.isAwaited()) {
      entry.learned.recordGivenUp(sent);
    }
    sent.backlogMillis = 0;
  }

  /**
   * Records that a target did not execute a request. A plain target that is full is avoided for a
   * moment; it is not ejected, since the other instances then fill the remaining targets.
   *
   * @param target target that refused the request, for which it still counts as in flight
   */
  public synchronized void recordRefusal(
      RelayTarget target, ResolvedRequest resolved, Instant now) {
    if (!isLearning || resolved.isGeneration()) {
      recordRejection(target.id(), now);
      return;
    }
    Entry entry = entry(target.id());
    int slots = TargetCapacity.slots(resolved.service().engine(), target);
    double responseMillis = times(resolved).meanMillis();
    int others = Math.max(0, slots - Math.max(0, entry.inFlight - 1));
    if (entry.learned.recordRefusal(others, slots, responseMillis, now)) {
      recordRejection(target.id(), now);
    }
  }

  /** Records the time from the send of a plain request to its response. */
  public synchronized void recordResponse(
      String target, ResolvedRequest resolved, double millis, Instant now) {
    if (!isLearning || resolved.isGeneration()) {
      return;
    }
    ServiceTimes service = times(resolved);
    entry(target).learned.recordRatio(millis / service.meanMillis(), 1, now);
    service.record(millis);
  }

  private ServiceTimes times(ResolvedRequest resolved) {
    String service = resolved.service().name();
    ServiceTimes known = times.get(service);
    if (known != null) {
      return known;
    }
    if (times.size() >= MAX_SERVICES) {
      times.clear();
    }
    ServiceTimes created = new ServiceTimes();
    times.put(service, created);
    return created;
  }

  public synchronized void recordSuccess(String target) {
    entry(target).learned.recordSuccess();
    if (entry(target).health.recordSuccess()) {
      changes++;
    }
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

  /** Returns the number of reports of remote load, and of recoveries of ejected targets. */
  public synchronized long changes() {
    return changes;
  }

  /** Returns the number of requests that ended. */
  public synchronized long ends() {
    return ends;
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
    cold.retainTargets(targets);
    groups.clear();
    Iterator<Map.Entry<String, Entry>> all = entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<String, Entry> next = all.next();
      if (next.getValue().inFlight == 0 && !targets.contains(next.getKey())) {
        next.getValue().parts.clear();
        all.remove();
      }
    }
  }

  private Entry entry(String target) {
    Entry known = entries.get(target);
    if (known != null) {
      return known;
    }
    Entry created = new Entry(partIndex);
    entries.put(target, created);
    return created;
  }

  /** A request in flight at a target. Guarded by the lock of its table. */
  public static final class InFlightRequest {

    private final String target;
    private final long footprint;
    private long backlogMillis;

    /**
     * Share of its work that is counted as done at most while its first token is awaited. With 1,
     * targets that are overdue looked idle and the replayed p99 after a slowdown was 15 to 45 %
     * higher.
     */
    private static final double MAX_DONE = 0.8;

    private static final long NEVER = Long.MIN_VALUE;

    private long sentAtMillis = NEVER;
    private ServiceTimes service;
    private long backlogAheadMillis;

    private InFlightRequest(String target, long footprint, long backlogMillis) {
      this.target = target;
      this.footprint = footprint;
      this.backlogMillis = backlogMillis;
    }

    /** Returns whether its first token is awaited, where costs are learned. */
    private boolean isAwaited() {
      return sentAtMillis != NEVER && backlogMillis > 0;
    }

    ServiceTimes service() {
      return service;
    }

    /** Returns the time to its first token at a target of usual speed, ms. */
    double expectedMillis() {
      return backlogAheadMillis + backlogMillis;
    }

    /** Returns the part of its own work that its target has probably done, ms. */
    double doneMillis(double slowdown, Instant now) {
      double done = elapsedMillis(now) / slowdown - backlogAheadMillis;
      return Math.max(0, Math.min(MAX_DONE * backlogMillis, done));
    }

    double elapsedMillis(Instant now) {
      return now.toEpochMilli() - sentAtMillis;
    }
  }

  private static final class Entry {

    private final TargetHealth health = new TargetHealth();
    private final CachedParts parts;
    private final LearnedTarget learned = new LearnedTarget();
    private TargetWork remote = NO_LOAD;
    private int inFlight;
    private long footprint;
    private long backlogMillis;

    private Entry(PartIndex index) {
      parts = new CachedParts(index);
    }
  }
}

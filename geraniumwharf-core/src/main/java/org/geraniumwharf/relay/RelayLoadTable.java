package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * What this instance has under way at each target, and how the targets answered lately. Safe for
 * use by several threads; its lock is innermost.
 */
public final class RelayLoadTable {

  /** Time for which the others' work is a better guess than none. */
  private static final Duration REMOTE_LOAD_VALIDITY = Duration.ofMillis(1500);

  private static final TargetWork NO_LOAD = TargetWork.of("", 0, 0, 0);

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, TargetWork> remoteLoad = new HashMap<>();
  private Instant remoteLoadExpiresAt = Instant.MIN;

  private RelayLoadTable() {}

  public static RelayLoadTable create() {
    return new RelayLoadTable();
  }

  /**
   * Load of one target.
   *
   * @param inFlight requests of all instances that are under way there, as far as they have told
   * @param footprint tokens that they occupy
   * @param backlogMillis time that the target needs until each of them has its first token, ms
   * @param hasRemoteReport whether the other instances told of their work lately; otherwise only
   *     this instance's own is counted
   * @param cachedTokens tokens of the prompt that the target probably keeps
   * @param isEjected whether it gets no work because it failed lately
   */
  public record Load(
      int inFlight,
      long footprint,
      long backlogMillis,
      boolean hasRemoteReport,
      int cachedTokens,
      boolean isEjected) {}

  /** Returns the load of a target for one request. */
  public synchronized Load load(RelayTarget target, ResolvedRequest work, Instant now) {
    Entry entry = entry(target.id());
    int kept =
        work.isGeneration()
            ? entry.parts.cachedTokens(work.cacheScope(target), work.request().prompt())
            : 0;
    boolean isTold = now.isBefore(remoteLoadExpiresAt);
    TargetWork others = isTold ? remoteLoad.getOrDefault(target.id(), NO_LOAD) : NO_LOAD;
    return new Load(
        entry.inFlight + others.requests(),
        entry.footprint + others.tokens(),
        entry.backlogMillis + others.backlogMillis(),
        isTold,
        kept,
        entry.health.isEjected(now));
  }

  /** Returns the work of this instance, to be told to the others. */
  public synchronized List<TargetWork> localLoad() {
    List<TargetWork> own = new ArrayList<>();
    entries.forEach(
        (target, entry) -> {
          if (entry.inFlight > 0) {
            own.add(TargetWork.of(target, entry.inFlight, entry.footprint, entry.backlogMillis));
          }
        });
    return own;
  }

  /** Takes the work of all other instances together. */
  public synchronized void setRemoteLoad(List<TargetWork> work, Instant now) {
    remoteLoad.clear();
    work.forEach(told -> remoteLoad.put(told.target(), told));
    remoteLoadExpiresAt = now.plus(REMOTE_LOAD_VALIDITY);
  }

  /**
   * Counts a request that is being sent; its prompt will be kept there.
   *
   * @param backlogMillis time that the target needs for its first token, ms
   */
  public synchronized InFlightRequest recordSent(
      RelayTarget target, ResolvedRequest work, long backlogMillis) {
    InFlightRequest run =
        new InFlightRequest(target.id(), work.isGeneration() ? work.footprint() : 0, backlogMillis);
    Entry entry = entry(run.target);
    entry.inFlight++;
    entry.footprint += run.footprint;
    entry.backlogMillis += run.backlogMillis;
    if (work.isGeneration()) {
      long capacity = work.service().engine().orElseThrow().cacheTokens();
      entry.parts.add(work.cacheScope(target), work.request().prompt(), capacity);
    }
    return run;
  }

  /** Notes that the first token came, which ends its part of the backlog. */
  public synchronized void recordFirstToken(InFlightRequest run) {
    entry(run.target).backlogMillis -= run.backlogMillis;
    run.backlogMillis = 0;
  }

  /** Ends a request that {@link #recordSent} counted. */
  public synchronized void recordEnded(InFlightRequest run) {
    Entry entry = entry(run.target);
    entry.inFlight--;
    entry.footprint -= run.footprint;
    entry.backlogMillis -= run.backlogMillis;
    run.backlogMillis = 0;
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

  /** Forgets what a target keeps, as after it took new weights. */
  public synchronized void clearCachedParts(String target) {
    entry(target).parts.clear();
  }

  /** Forgets idle targets that are no longer known. */
  public synchronized void retainTargets(Set<String> targets) {
    entries
        .entrySet()
        .removeIf(entry -> entry.getValue().inFlight == 0 && !targets.contains(entry.getKey()));
  }

  private Entry entry(String target) {
    return entries.computeIfAbsent(target, name -> new Entry());
  }

  /** One request at one target. Guarded by the lock of its table. */
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

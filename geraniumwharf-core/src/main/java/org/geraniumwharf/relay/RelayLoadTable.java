package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What this instance has under way at each target, and how the targets answered lately. Safe for use
 * by several threads; its lock is innermost.
 */
public final class RelayLoadTable {

  private final Map<String, Entry> entries = new HashMap<>();

  private RelayLoadTable() {}

  public static RelayLoadTable create() {
    return new RelayLoadTable();
  }

  /**
   * Load of one target as this instance sees it.
   *
   * @param inFlight requests that this instance has under way there
   * @param footprint tokens that they occupy
   * @param keptTokens tokens of the prompt that the target probably keeps
   * @param isResting whether it gets no work because it failed lately
   * @param restsUntil end of that rest
   */
  public record Load(
      int inFlight, long footprint, int keptTokens, boolean isResting, Instant restsUntil) {}

  /** Returns the load of a target for one request. */
  public synchronized Load load(RelayTarget target, RelayWork work, Instant now) {
    Entry entry = entry(target.id());
    int kept =
        work.isGeneration()
            ? entry.parts.keptTokens(work.cacheScope(target), work.request().prompt())
            : 0;
    return new Load(
        entry.inFlight,
        entry.footprint,
        kept,
        entry.health.isResting(now),
        entry.health.restsUntil());
  }

  /** Counts a request that is being sent; its prompt will be kept there. */
  public synchronized void sent(RelayTarget target, RelayWork work) {
    Entry entry = entry(target.id());
    entry.inFlight++;
    if (work.isGeneration()) {
      entry.footprint += work.footprint();
      long capacity = work.service().engine().orElseThrow().cacheTokens();
      entry.parts.add(work.cacheScope(target), work.request().prompt(), capacity);
    }
  }

  /** Ends a request that {@link #sent} counted. */
  public synchronized void ended(String target, RelayWork work) {
    Entry entry = entry(target);
    entry.inFlight--;
    if (work.isGeneration()) {
      entry.footprint -= work.footprint();
    }
  }

  public synchronized void succeeded(String target) {
    entry(target).health.succeeded();
  }

  public synchronized void failed(String target, Instant now) {
    entry(target).health.failed(now);
  }

  public synchronized void refused(String target, Instant now) {
    entry(target).health.refused(now);
  }

  public synchronized void unreachable(String target, Instant now) {
    entry(target).health.unreachable(now);
  }

  /** Forgets what a target keeps, as after it took new weights. */
  public synchronized void forgetParts(String target) {
    entry(target).parts.clear();
  }

  /** Forgets idle targets that are no longer known. */
  public synchronized void retain(Set<String> targets) {
    entries
        .entrySet()
        .removeIf(entry -> entry.getValue().inFlight == 0 && !targets.contains(entry.getKey()));
  }

  /** Returns the requests under way at some targets together. */
  public synchronized int inFlight(List<String> targets) {
    return targets.stream().mapToInt(name -> entry(name).inFlight).sum();
  }

  private Entry entry(String target) {
    return entries.computeIfAbsent(target, name -> new Entry());
  }

  private static final class Entry {

    private final TargetHealth health = new TargetHealth();
    private final KnownParts parts = new KnownParts();
    private int inFlight;
    private long footprint;
  }
}

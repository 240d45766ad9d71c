package org.geraniumwharf.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumwharf.schema.messages.CrashEvidence;

/**
 * The distinct crashes of targets that count against each prompt part. A part is quarantined after
 * {@link #QUARANTINE_CRASHES} of them without a complete answer in between. A crash under a request
 * with a quarantined part counts against no other part. Not thread-safe.
 */
public final class CrashLedger {

  /** Distinct crashes after which a part is quarantined. */
  public static final int QUARANTINE_CRASHES = 3;

  /** Time after the last crash for which the evidence against a part is kept. */
  public static final Duration EVIDENCE_VALIDITY = Duration.ofSeconds(60);

  /** Time after the last crash for which a part stays quarantined. */
  public static final Duration QUARANTINE_VALIDITY = Duration.ofMinutes(10);

  /** Number of parts that are suspected at a time, and of those that are quarantined. */
  public static final int MAX_PARTS = 512;

  /** Crashes of a part that are kept to recognise later reports of them. */
  private static final int MAX_CRASHES_PER_PART = 64;

  private final Map<String, Suspicion> suspected = new LinkedHashMap<>();
  private final Map<String, Suspicion> quarantined = new LinkedHashMap<>();

  private final List<WaitingPart> waiting = new ArrayList<>();

  private CrashLedger() {}

  public static CrashLedger create() {
    return new CrashLedger();
  }

  /**
   * Records that a target crashed under a request. A crash that is recorded again, for another
   * request or by another instance, counts once against each part.
   */
  public List<QuarantineChange> recordCrash(CrashEvidence evidence, Instant now) {
    Crash crash = new Crash(evidence.target(), evidence.incarnation());
    List<Suspicion> explaining = evidence.parts().stream().flatMap(this::findQuarantined).toList();
    if (!explaining.isEmpty()) {
      explaining.forEach(suspicion -> suspicion.add(crash, now));
      return List.of();
    }
    for (int i = 0; i < evidence.parts().size(); i++) {
      suspect(evidence.parts().get(i), i, crash, now);
    }
    boolean isExplained =
        quarantined.values().stream().anyMatch(held -> held.crashes.contains(crash));
    return isExplained ? List.of() : quarantineMostLikely(evidence.parts(), crash, now);
  }

  private Stream<Suspicion> findQuarantined(String part) {
    return Optional.ofNullable(quarantined.get(part)).stream();
  }

  /** Adds a crash to a part and moves the part to the end, so that the oldest is dropped first. */
  private void suspect(String part, int depth, Crash crash, Instant now) {
    Suspicion suspicion =
        Optional.ofNullable(suspected.remove(part)).orElseGet(() -> new Suspicion(now));
    suspicion.add(crash, now);
    suspicion.depth = Math.max(suspicion.depth, depth);
    suspected.put(part, suspicion);
    dropOldest(suspected);
  }

  private static void dropOldest(Map<String, Suspicion> parts) {
    if (parts.size() > MAX_PARTS) {
      parts.remove(parts.keySet().iterator().next());
    }
  }

  /**
   * Quarantines the part with the most crashes if they suffice. Of several, the deepest one in the
   * prompt is quarantined: the leading parts are shared by more requests, which can still prove
   * them sound.
   *
   * @param newest crash that was recorded last
   */
  private List<QuarantineChange> quarantineMostLikely(
      List<String> parts, Crash newest, Instant now) {
    List<String> suspects =
        parts.stream().distinct().filter(part -> crashes(part) >= QUARANTINE_CRASHES).toList();
    List<String> postponed =
        suspects.stream().filter(part -> mayBeExplainedByDeeperPart(part, newest, parts)).toList();
    postponed.forEach(this::recordWaiting);
    Optional<String> mostLikely =
        suspects.stream()
            .filter(part -> !postponed.contains(part))
            .max(
                Comparator.<String>comparingInt(this::crashes)
                    .thenComparingInt(part -> suspected.get(part).depth));
    if (mostLikely.isEmpty()) {
      return List.of();
    }
    String part = mostLikely.get();
    Suspicion suspicion = suspected.remove(part);
    quarantined.put(part, suspicion);
    dropOldest(quarantined);
    return List.of(
        QuarantineChange.quarantined(
            part, suspicion.crashes.size(), "targets crashed under it, last at " + now));
  }

  /** Notes a part once for each crash, however often the crash is reported. */
  private void recordWaiting(String part) {
    Suspicion suspicion = suspected.get(part);
    if (suspicion.waitingCrashes != suspicion.crashes.size()) {
      suspicion.waitingCrashes = suspicion.crashes.size();
      waiting.add(new WaitingPart(part, suspicion.crashes.size()));
    }
  }

  /**
   * Returns the parts that had enough crashes since the last call and are not quarantined yet,
   * because a deeper part of other requests may explain them.
   */
  public List<WaitingPart> takeWaiting() {
    List<WaitingPart> taken = List.copyOf(waiting);
    waiting.clear();
    return taken;
  }

  /**
   * Returns whether a deeper part of other requests had all crashes of a part but the newest one.
   * The requests under way at one crash are reported one by one, so the request with the deeper
   * part may only be reported later. If it is not, the part is quarantined at its next crash.
   */
  private boolean mayBeExplainedByDeeperPart(String part, Crash newest, List<String> reported) {
    Suspicion suspicion = suspected.get(part);
    Set<Crash> earlier = new HashSet<>(suspicion.crashes);
    earlier.remove(newest);
    return suspected.entrySet().stream()
        .filter(other -> !reported.contains(other.getKey()))
        .map(Map.Entry::getValue)
        .anyMatch(other -> other.depth > suspicion.depth && other.crashes.containsAll(earlier));
  }

  /** Records a complete answer to a request with a part, which clears and releases the part. */
  public List<QuarantineChange> recordSound(String part) {
    suspected.remove(part);
    return release(part, "a target answered it completely");
  }

  /** Forgets a part that was cleared elsewhere. */
  List<QuarantineChange> forget(String part) {
    suspected.remove(part);
    return release(part, "it was cleared elsewhere");
  }

  private List<QuarantineChange> release(String part, String cause) {
    return Optional.ofNullable(quarantined.remove(part))
        .map(held -> List.of(QuarantineChange.released(part, held.crashes.size(), cause)))
        .orElse(List.of());
  }

  /** Quarantines a part that was quarantined under an earlier leader. */
  public List<QuarantineChange> adopt(String part, Instant now) {
    if (quarantined.containsKey(part)) {
      return List.of();
    }
    Suspicion suspicion =
        Optional.ofNullable(suspected.remove(part)).orElseGet(() -> new Suspicion(now));
    suspicion.lastCrashAt = now;
    quarantined.put(part, suspicion);
    dropOldest(quarantined);
    return List.of(
        QuarantineChange.quarantined(
            part, suspicion.crashes.size(), "it was quarantined under an earlier leader"));
  }

  /** Removes expired evidence and releases parts whose quarantine has expired. */
  public List<QuarantineChange> expire(Instant now) {
    suspected
        .values()
        .removeIf(suspicion -> !now.isBefore(suspicion.lastCrashAt.plus(EVIDENCE_VALIDITY)));
    List<QuarantineChange> changes = new ArrayList<>();
    for (String part : List.copyOf(quarantined.keySet())) {
      if (!now.isBefore(quarantined.get(part).lastCrashAt.plus(QUARANTINE_VALIDITY))) {
        changes.addAll(release(part, "no target crashed under it lately"));
      }
    }
    return changes;
  }

  /** Returns whether a crash counts against a part that is not quarantined. */
  public boolean isSuspected(String part) {
    return suspected.containsKey(part) && crashes(part) > 0;
  }

  public boolean isQuarantined(String part) {
    return quarantined.containsKey(part);
  }

  /**
   * Returns the number of distinct crashes that count against a part. Crashes of a quarantined part
   * do not, unless the part had all of them: then either may be the cause.
   */
  public int crashes(String part) {
    if (quarantined.containsKey(part)) {
      return quarantined.get(part).crashes.size();
    }
    if (!suspected.containsKey(part)) {
      return 0;
    }
    Set<Crash> counted = new HashSet<>(suspected.get(part).crashes);
    for (Suspicion held : quarantined.values()) {
      if (!suspected.get(part).crashes.containsAll(held.crashes)) {
        counted.removeAll(held.crashes);
      }
    }
    return counted.size();
  }

  /** Returns the suspected parts that are not quarantined; those of the oldest crashes first. */
  public List<String> suspectedParts() {
    return suspected.keySet().stream().filter(this::isSuspected).toList();
  }

  public List<String> quarantinedParts() {
    return List.copyOf(quarantined.keySet());
  }

  /**
   * A part whose quarantine waits for the next crash.
   *
   * @param crashes distinct crashes that count against it
   */
  public record WaitingPart(String part, int crashes) {}

  /** One crash of one process of a target. */
  private record Crash(String target, long incarnation) {}

  private static final class Suspicion {

    private final Set<Crash> crashes = new LinkedHashSet<>();
    private Instant lastCrashAt;
    private int depth;
    private int waitingCrashes;

    private Suspicion(Instant now) {
      lastCrashAt = now;
    }

    private void add(Crash crash, Instant now) {
      crashes.add(crash);
      lastCrashAt = now;
      if (crashes.size() > MAX_CRASHES_PER_PART) {
        crashes.remove(crashes.iterator().next());
      }
    }
  }
}

package org.geraniumwharf.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
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

  /** Distinct crashes for a part that was answered completely shortly before each of them. */
  static final int PROVEN_QUARANTINE_CRASHES = QUARANTINE_CRASHES + 1;

  /**
   * Distinct crashes after which such a part is quarantined although another part may explain some.
   */
  static final int MAX_PROVEN_CRASHES = QUARANTINE_CRASHES + 2;

  /**
   * Time in which all reports of one crash arrive: that without an answer of the leader, after
   * which an instance uses its own evidence anyway.
   */
  static final Duration REPORT_TIME = PartQuarantine.LEADER_TIMEOUT;

  /** Time after the last crash for which the evidence against a part is kept. */
  public static final Duration EVIDENCE_VALIDITY = Duration.ofSeconds(60);

  /** Time after the last crash for which a part stays quarantined. */
  public static final Duration QUARANTINE_VALIDITY = Duration.ofMinutes(10);

  /** Number of parts that are suspected at a time, unless one report alone has more. */
  static final int MAX_SUSPECTED_PARTS = 16_384;

  /** Number of suspected parts that are listed to entry instances; those of most crashes first. */
  static final int MAX_LISTED_PARTS = 512;

  /** Number of parts that are quarantined at a time. */
  static final int MAX_QUARANTINED_PARTS = 512;

  /** Crashes of a part that are kept to recognise later reports of them. */
  private static final int MAX_CRASHES_PER_PART = 64;

  private final Map<String, Suspicion> suspected = new LinkedHashMap<>();
  private final Map<String, Suspicion> quarantined = new LinkedHashMap<>();

  private final List<WaitingPart> waiting = new ArrayList<>();

  /** Suspected parts as they are listed; empty if they have to be listed anew. */
  private Optional<List<String>> listed = Optional.empty();

  private CrashLedger() {}

  public static CrashLedger create() {
    return new CrashLedger();
  }

  /**
   * Records that a target crashed under a request. A crash that is recorded again, for another
   * request or by another instance, counts once against each part.
   *
   * <p>Evidence of a request whose parts were all proven sound shortly before decides nothing yet:
   * the request with the cause may be reported later, see {@link #quarantineReported}. A proof at
   * one instance holds for the reports of all instances.
   */
  public List<QuarantineChange> recordCrash(CrashEvidence evidence, Instant now) {
    Crash crash = new Crash(evidence.target(), evidence.incarnation());
    Instant reportedAt = firstReportOf(crash).orElse(now);
    listed = Optional.empty();
    List<Suspicion> explaining = evidence.parts().stream().flatMap(this::findQuarantined).toList();
    if (!explaining.isEmpty()) {
      explaining.forEach(suspicion -> suspicion.add(crash, evidence.proven(), reportedAt, now));
      return List.of();
    }
    for (int i = 0; i < evidence.parts().size(); i++) {
      Suspicion suspicion = suspect(evidence.parts().get(i), i, now);
      suspicion.add(crash, evidence.proven(), reportedAt, now);
    }
    dropSuspected(Set.copyOf(evidence.parts()));
    return evidence.proven() || isExplained(crash)
        ? List.of()
        : quarantineMostLikely(evidence.parts(), crash, now);
  }

  /** Returns whether a quarantined part had a crash. */
  private boolean isExplained(Crash crash) {
    return quarantined.values().stream().anyMatch(held -> held.has(crash));
  }

  private Stream<Suspicion> findQuarantined(String part) {
    return Optional.ofNullable(quarantined.get(part)).stream();
  }

  private Optional<Instant> firstReportOf(Crash crash) {
    return suspicions()
        .flatMap(suspicion -> Optional.ofNullable(suspicion.crashes.get(crash)).stream())
        .min(Comparator.naturalOrder());
  }

  private Stream<Suspicion> suspicions() {
    return Stream.concat(suspected.values().stream(), quarantined.values().stream());
  }

  /** Suspects a part and moves it to the end, so that those of the oldest crashes come first. */
  private Suspicion suspect(String part, int depth, Instant now) {
    Suspicion suspicion =
        Optional.ofNullable(suspected.remove(part)).orElseGet(() -> new Suspicion(now));
    suspicion.depth = Math.max(suspicion.depth, depth);
    suspected.put(part, suspicion);
    return suspicion;
  }

  /**
   * Drops the oldest suspected parts beyond {@link #MAX_SUSPECTED_PARTS}, those with one crash
   * first. Parts of the newest report stay: one of them may be the cause, however many they are.
   */
  private void dropSuspected(Set<String> newest) {
    dropOldest(newest, part -> suspected.get(part).crashes.size() == 1);
    dropOldest(newest, part -> true);
  }

  private void dropOldest(Set<String> newest, Predicate<String> mayBeDropped) {
    Iterator<String> oldestFirst = suspected.keySet().iterator();
    int excess = suspected.size() - MAX_SUSPECTED_PARTS;
    while (excess > 0 && oldestFirst.hasNext()) {
      String part = oldestFirst.next();
      if (!newest.contains(part) && mayBeDropped.test(part)) {
        oldestFirst.remove();
        excess--;
      }
    }
  }

  private void addQuarantined(String part, Suspicion suspicion) {
    quarantined.put(part, suspicion);
    if (quarantined.size() > MAX_QUARANTINED_PARTS) {
      quarantined.remove(quarantined.keySet().iterator().next());
    }
    listed = Optional.empty();
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
        parts.stream().distinct().filter(part -> isAtLimit(part, decisive(part, now))).toList();
    List<String> postponed =
        suspects.stream()
            .filter(part -> mayBeExplainedByDeeperPart(part, newest, parts, now))
            .toList();
    postponed.forEach(this::recordWaiting);
    return mostLikely(suspects.stream().filter(part -> !postponed.contains(part)))
        .map(part -> quarantine(part, now))
        .orElse(List.of());
  }

  private Optional<String> mostLikely(Stream<String> suspects) {
    return suspects.max(
        Comparator.<String>comparingInt(this::crashes)
            .thenComparingInt(part -> suspected.get(part).depth));
  }

  private List<QuarantineChange> quarantine(String part, Instant now) {
    Suspicion suspicion = suspected.remove(part);
    addQuarantined(part, suspicion);
    return List.of(
        QuarantineChange.quarantined(
            part, suspicion.crashes.size(), "targets crashed under it, last at " + now));
  }

  /**
   * Quarantines the most likely of the parts that were proven sound shortly before crashes and have
   * enough of them whose reports have all had the time to arrive.
   */
  public List<QuarantineChange> quarantineReported(Instant now) {
    return mostLikely(suspected.keySet().stream().filter(part -> isReportedCause(part, now)))
        .map(part -> quarantine(part, now))
        .orElse(List.of());
  }

  private boolean isReportedCause(String part, Instant now) {
    Suspicion suspicion = suspected.get(part);
    Set<Crash> reported = counted(part);
    reported.removeIf(crash -> !suspicion.isReported(crash, now));
    Optional<Crash> newest = reported.stream().reduce((earlier, later) -> later);
    return newest.filter(suspicion::isProvenAt).isPresent()
        && !isExplained(newest.get())
        && isAtLimit(part, reported);
  }

  /** Returns the crashes of a part that decide at once, and those that are reported by all. */
  private Set<Crash> decisive(String part, Instant now) {
    Suspicion suspicion = suspected.get(part);
    Set<Crash> decisive = counted(part);
    decisive.removeIf(crash -> suspicion.isProvenAt(crash) && !suspicion.isReported(crash, now));
    return decisive;
  }

  /**
   * Returns whether crashes suffice against a part. One shortly after a proof of the part counts
   * only if no likelier part had it, up to {@link #MAX_PROVEN_CRASHES}.
   */
  private boolean isAtLimit(String part, Set<Crash> crashes) {
    if (crashes.size() < QUARANTINE_CRASHES) {
      return false;
    }
    Suspicion suspicion = suspected.get(part);
    boolean isAlwaysProven = crashes.stream().allMatch(suspicion::isProvenAt);
    long count =
        crashes.stream()
            .filter(crash -> !suspicion.isProvenAt(crash) || !hasLikelierPart(crash))
            .count();
    return count >= (isAlwaysProven ? PROVEN_QUARANTINE_CRASHES : QUARANTINE_CRASHES)
        || crashes.size() >= MAX_PROVEN_CRASHES;
  }

  /** Returns whether a part that was not proven before a crash had it and at least one other. */
  private boolean hasLikelierPart(Crash crash) {
    return suspicions().anyMatch(other -> other.isUnprovenAt(crash) && other.unprovenCrashes() > 1);
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
   * Returns whether a deeper part of other requests, not proven sound before them, had all crashes
   * of a part but the newest one. The requests under way at one crash are reported one by one, so
   * the request with the deeper part may only be reported later. If it is not, the part is
   * quarantined at its next crash.
   */
  private boolean mayBeExplainedByDeeperPart(
      String part, Crash newest, List<String> reported, Instant now) {
    Suspicion suspicion = suspected.get(part);
    Set<Crash> earlier = decisive(part, now);
    earlier.remove(newest);
    return suspected.entrySet().stream()
        .filter(other -> !reported.contains(other.getKey()))
        .map(Map.Entry::getValue)
        .anyMatch(
            other ->
                other.depth > suspicion.depth && earlier.stream().allMatch(other::isUnprovenAt));
  }

  /** Records a complete answer to a request with a part, which clears and releases the part. */
  public List<QuarantineChange> recordSound(String part) {
    suspected.remove(part);
    listed = Optional.empty();
    return release(part, "a target answered it completely");
  }

  /** Forgets a part that was cleared elsewhere. */
  List<QuarantineChange> forget(String part) {
    suspected.remove(part);
    listed = Optional.empty();
    return release(part, "it was cleared elsewhere");
  }

  private List<QuarantineChange> release(String part, String cause) {
    listed = Optional.empty();
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
    addQuarantined(part, suspicion);
    return List.of(
        QuarantineChange.quarantined(
            part, suspicion.crashes.size(), "it was quarantined under an earlier leader"));
  }

  /** Removes expired evidence and releases parts whose quarantine has expired. */
  public List<QuarantineChange> expire(Instant now) {
    boolean isAnyExpired =
        suspected
            .values()
            .removeIf(suspicion -> !now.isBefore(suspicion.lastCrashAt.plus(EVIDENCE_VALIDITY)));
    if (isAnyExpired) {
      listed = Optional.empty();
    }
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
    return suspected.containsKey(part) ? counted(part).size() : 0;
  }

  /** Returns the crashes that count against a suspected part, oldest first. */
  private Set<Crash> counted(String part) {
    Set<Crash> crashes = suspected.get(part).crashes.keySet();
    Set<Crash> counted = new LinkedHashSet<>(crashes);
    for (Suspicion held : quarantined.values()) {
      if (!crashes.containsAll(held.crashes.keySet())) {
        counted.removeAll(held.crashes.keySet());
      }
    }
    return counted;
  }

  /**
   * Returns suspected parts that are not quarantined, {@link #MAX_LISTED_PARTS} at most: those of
   * most crashes, and of them those of the oldest crashes first.
   */
  public List<String> suspectedParts() {
    List<String> parts = listed.orElseGet(this::listSuspected);
    listed = Optional.of(parts);
    return parts;
  }

  private List<String> listSuspected() {
    return suspected.keySet().stream()
        .filter(this::isSuspected)
        .sorted(Comparator.comparingInt(this::crashes).reversed())
        .limit(MAX_LISTED_PARTS)
        .toList();
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

    /** Crashes with the time of the first report of each, of whatever part. */
    private final Map<Crash, Instant> crashes = new LinkedHashMap<>();

    /** Crashes shortly before which an instance had proven the part sound. */
    private final Set<Crash> afterProof = new HashSet<>();

    private Instant lastCrashAt;
    private int depth;
    private int waitingCrashes;

    private Suspicion(Instant now) {
      lastCrashAt = now;
    }

    private void add(Crash crash, boolean isProven, Instant reportedAt, Instant now) {
      crashes.putIfAbsent(crash, reportedAt);
      if (isProven) {
        afterProof.add(crash);
      }
      lastCrashAt = now;
      if (crashes.size() > MAX_CRASHES_PER_PART) {
        Crash oldest = crashes.keySet().iterator().next();
        crashes.remove(oldest);
        afterProof.remove(oldest);
      }
    }

    private boolean has(Crash crash) {
      return crashes.containsKey(crash);
    }

    private boolean isProvenAt(Crash crash) {
      return afterProof.contains(crash);
    }

    private boolean isReported(Crash crash, Instant now) {
      return !now.isBefore(crashes.get(crash).plus(REPORT_TIME));
    }

    private boolean isUnprovenAt(Crash crash) {
      return has(crash) && !isProvenAt(crash);
    }

    private int unprovenCrashes() {
      return crashes.size() - afterProof.size();
    }
  }
}

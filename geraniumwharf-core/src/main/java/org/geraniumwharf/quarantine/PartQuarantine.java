package org.geraniumwharf.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumwharf.schema.messages.CrashEvidence;

/**
 * The prompt parts that one entry instance refuses or suspects: those that the leader lists, and,
 * while the leader is unreachable, those that its own evidence suffices for. Safe for use by
 * several threads; no other lock is taken while its lock is held.
 */
public final class PartQuarantine {

  /**
   * Time for which a complete answer clears a part in advance. Such a part is suspected of a crash
   * only if all parts of the request are cleared.
   */
  static final Duration SOUND_VALIDITY = Duration.ofSeconds(10);

  /** Time without an answer of the leader after which an instance uses its own evidence alone. */
  static final Duration LEADER_TIMEOUT = Duration.ofMillis(1500);

  /** Crashes, sound parts and quarantined parts of one report, each. */
  static final int MAX_REPORTED = 128;

  /** Parts of the crashes of one report, unless its first crash alone has more. */
  static final int MAX_PARTS_OF_REPORT = 4096;

  /** Parts of one crash, more than the longest usual header of a request has room for. */
  static final int MAX_PARTS_OF_CRASH = 16_384;

  /** Parts of all crashes that are not reported yet. */
  private static final int MAX_UNREPORTED_PARTS = 2 * MAX_PARTS_OF_CRASH;

  private static final int MAX_SOUND_PARTS = 4096;

  private final CrashLedger own = CrashLedger.create();
  private final Map<String, HeldPart> held = new LinkedHashMap<>();
  private final Set<String> suspectedByLeader = new HashSet<>();
  private final Map<String, Instant> soundAt = new LinkedHashMap<>();
  private final Set<CrashEvidence> unreportedCrashes = new LinkedHashSet<>();
  private final Set<String> unreportedSound = new LinkedHashSet<>();
  private Optional<Instant> lastAnswerAt = Optional.empty();
  private long term;

  private PartQuarantine() {}

  public static PartQuarantine create() {
    return new PartQuarantine();
  }

  /**
   * What one heartbeat reports to the leader.
   *
   * @param crashes crashes that the leader has not acknowledged
   * @param soundParts suspected parts that were answered completely since
   * @param quarantinedParts quarantined parts that the leader of this term has not listed
   */
  public record Report(
      List<CrashEvidence> crashes, List<String> soundParts, List<String> quarantinedParts) {}

  /**
   * Lists of the leader in an answer to a heartbeat.
   *
   * @param term term of the leader
   */
  public record LeaderLists(long term, List<String> suspected, List<String> quarantined) {}

  /** Returns the first quarantined part of a prompt. */
  public synchronized Optional<String> findQuarantined(Collection<String> parts, Instant now) {
    boolean isLeaderUnreachable =
        lastAnswerAt.filter(at -> now.isBefore(at.plus(LEADER_TIMEOUT))).isEmpty();
    return parts.stream()
        .filter(part -> isHeld(part, now) || (isLeaderUnreachable && own.isQuarantined(part)))
        .findFirst();
  }

  private boolean isHeld(String part, Instant now) {
    HeldPart found = held.get(part);
    return found != null && now.isBefore(found.listedAt.plus(CrashLedger.QUARANTINE_VALIDITY));
  }

  /**
   * Returns whether earlier crashes count against a part of a prompt.
   *
   * @param crashes how many; if more than one, only those that this instance noticed count
   */
  public synchronized boolean isAnySuspected(Collection<String> parts, int crashes, Instant now) {
    own.expire(now);
    return crashes > 1
        ? parts.stream().anyMatch(part -> own.crashes(part) >= crashes)
        : parts.stream().anyMatch(this::isSuspected);
  }

  /** Returns whether all parts of a prompt were answered completely lately. */
  public synchronized boolean isProven(Collection<String> parts, Instant now) {
    return parts.stream().allMatch(part -> isSoundLately(part, now));
  }

  private boolean isSuspected(String part) {
    return own.isSuspected(part)
        || own.isQuarantined(part)
        || held.containsKey(part)
        || suspectedByLeader.contains(part);
  }

  /**
   * Records that a target crashed under a request.
   *
   * @param parts parts of the prompt that other requests share, in order
   */
  public synchronized List<QuarantineChange> recordCrash(
      String target, long incarnation, List<String> parts, Instant now) {
    List<QuarantineChange> changes = new ArrayList<>(own.expire(now));
    List<String> unproven = parts.stream().filter(part -> !isSoundLately(part, now)).toList();
    List<String> suspects =
        (unproven.isEmpty() ? parts : unproven).stream().limit(MAX_PARTS_OF_CRASH).toList();
    if (suspects.isEmpty()) {
      return changes;
    }
    CrashEvidence evidence = CrashEvidence.of(target, incarnation, suspects, unproven.isEmpty());
    changes.addAll(own.recordCrash(evidence, now));
    changes.addAll(own.quarantineReported(now));
    unreportedCrashes.add(evidence);
    dropOldestCrashes();
    return changes;
  }

  private void dropOldestCrashes() {
    dropOldest(unreportedCrashes);
    int excess = unreportedCrashes.stream().mapToInt(crash -> crash.parts().size()).sum();
    excess -= MAX_UNREPORTED_PARTS;
    Iterator<CrashEvidence> oldestFirst = unreportedCrashes.iterator();
    while (excess > 0) {
      excess -= oldestFirst.next().parts().size();
      oldestFirst.remove();
    }
  }

  /** Returns the parts whose quarantine waits by the evidence of this instance; each once. */
  public synchronized List<CrashLedger.WaitingPart> takeWaiting() {
    return own.takeWaiting();
  }

  private boolean isSoundLately(String part, Instant now) {
    Instant at = soundAt.get(part);
    return at != null && now.isBefore(at.plus(SOUND_VALIDITY));
  }

  private static <T> void dropOldest(Set<T> reports) {
    if (reports.size() > MAX_REPORTED) {
      reports.remove(reports.iterator().next());
    }
  }

  /** Records a complete answer to a request, which proves the parts of its prompt sound. */
  public synchronized List<QuarantineChange> recordSound(Collection<String> parts, Instant now) {
    List<QuarantineChange> changes = new ArrayList<>();
    for (String part : parts) {
      soundAt.remove(part);
      soundAt.put(part, now);
      if (soundAt.size() > MAX_SOUND_PARTS) {
        soundAt.remove(soundAt.keySet().iterator().next());
      }
      if (isSuspected(part)) {
        changes.addAll(own.recordSound(part));
        release(part, "a target answered it completely").ifPresent(changes::add);
        suspectedByLeader.remove(part);
        clearUnreported(part);
        unreportedSound.add(part);
        dropOldest(unreportedSound);
      }
    }
    return changes;
  }

  private Optional<QuarantineChange> release(String part, String cause) {
    return Optional.ofNullable(held.remove(part))
        .map(released -> QuarantineChange.released(part, own.crashes(part), cause));
  }

  private void clearUnreported(String part) {
    for (CrashEvidence evidence : List.copyOf(unreportedCrashes)) {
      if (evidence.parts().contains(part)) {
        unreportedCrashes.remove(evidence);
        List<String> others =
            evidence.parts().stream().filter(other -> !other.equals(part)).toList();
        if (!others.isEmpty()) {
          unreportedCrashes.add(evidence.withParts(others));
        }
      }
    }
  }

  /** Returns what the next heartbeat reports. */
  public synchronized Report report() {
    return new Report(
        nextCrashes(),
        List.copyOf(unreportedSound),
        held.entrySet().stream()
            .filter(entry -> entry.getValue().term != term)
            .map(Map.Entry::getKey)
            .limit(MAX_REPORTED)
            .toList());
  }

  /** Returns the oldest crashes that have not been reported, as many as fit into one report. */
  private List<CrashEvidence> nextCrashes() {
    List<CrashEvidence> crashes = new ArrayList<>();
    int parts = 0;
    for (CrashEvidence evidence : unreportedCrashes) {
      parts += evidence.parts().size();
      if (!crashes.isEmpty() && parts > MAX_PARTS_OF_REPORT) {
        break;
      }
      crashes.add(evidence);
    }
    return List.copyOf(crashes);
  }

  /**
   * Applies the lists of the leader. A part that this leader listed earlier or was reported to it,
   * and that it does not list now, is released. A part of an earlier leader is kept and reported.
   */
  public synchronized List<QuarantineChange> applyAnswer(
      Report sent, LeaderLists lists, Instant now) {
    unreportedCrashes.removeAll(sent.crashes());
    unreportedSound.removeAll(sent.soundParts());
    List<QuarantineChange> changes = new ArrayList<>(own.expire(now));
    Set<String> quarantined = Set.copyOf(lists.quarantined());
    for (String part : quarantined) {
      if (held.put(part, new HeldPart(lists.term(), now)) == null) {
        changes.add(
            QuarantineChange.quarantined(part, own.crashes(part), "the leader quarantined it"));
      }
    }
    for (Map.Entry<String, HeldPart> entry : List.copyOf(held.entrySet())) {
      boolean isFromThisLeader =
          entry.getValue().term == lists.term() || sent.quarantinedParts().contains(entry.getKey());
      boolean isExpired = !isHeld(entry.getKey(), now);
      if (!quarantined.contains(entry.getKey()) && (isFromThisLeader || isExpired)) {
        release(entry.getKey(), isExpired ? "it expired" : "the leader released it")
            .ifPresent(changes::add);
      }
    }
    suspectedByLeader.clear();
    suspectedByLeader.addAll(lists.suspected());
    suspectedByLeader.removeAll(unreportedSound);
    if (lists.term() == term) {
      forgetCleared(lists).forEach(changes::add);
    }
    changes.addAll(own.quarantineReported(now));
    term = lists.term();
    lastAnswerAt = Optional.of(now);
    return changes;
  }

  /**
   * Forgets own evidence that the leader has received and no longer counts. Nothing is known of
   * parts that are not listed if the list of suspected ones is full.
   */
  private List<QuarantineChange> forgetCleared(LeaderLists lists) {
    if (lists.suspected().size() >= CrashLedger.MAX_LISTED_PARTS) {
      return List.of();
    }
    Set<String> counted = new HashSet<>(lists.suspected());
    counted.addAll(lists.quarantined());
    unreportedCrashes.forEach(evidence -> counted.addAll(evidence.parts()));
    return Stream.concat(own.suspectedParts().stream(), own.quarantinedParts().stream())
        .filter(part -> !counted.contains(part))
        .toList()
        .stream()
        .flatMap(part -> own.forget(part).stream())
        .toList();
  }

  /** Returns the number of parts that are refused. */
  public synchronized int size(Instant now) {
    Set<String> known = new HashSet<>(held.keySet());
    known.addAll(own.quarantinedParts());
    return (int)
        known.stream().filter(part -> findQuarantined(List.of(part), now).isPresent()).count();
  }

  /**
   * A part that a leader quarantined.
   *
   * @param term term of the leader that listed it last
   */
  private record HeldPart(long term, Instant listedAt) {}
}

package org.geraniumwharf.internal.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;

/**
 * Calls that wait for their log entry to be applied or their read to be confirmed. Used by the
 * replica thread only.
 */
final class PendingCalls {

  private final TreeMap<Long, PendingEntry> entries = new TreeMap<>();
  private final Map<Long, CompletableFuture<ControlAnswer>> reads = new HashMap<>();
  private long nextRead;

  void addEntry(long index, long term, CompletableFuture<ControlAnswer> answer) {
    entries.put(index, new PendingEntry(term, answer));
  }

  long addRead(CompletableFuture<ControlAnswer> answer) {
    nextRead++;
    reads.put(nextRead, answer);
    return nextRead;
  }

  /**
   * Completes the call whose entry was applied at an index. If the applied entry has another term,
   * a new leader replaced the entry of the call, which then fails as not applied.
   */
  void completeEntry(long index, long term, Optional<ControlAnswer> answer) {
    PendingEntry pending = entries.remove(index);
    if (pending == null) {
      return;
    }
    if (pending.term() == term && answer.isPresent()) {
      pending.answer().complete(answer.get());
    } else {
      pending.answer().complete(failed("another leader replaced the change", false));
    }
  }

  void completeRead(long id, long index) {
    CompletableFuture<ControlAnswer> answer = reads.remove(id);
    if (answer != null) {
      answer.complete(ReadIndexAnswer.of(index));
    }
  }

  /**
   * Fails the calls with entries up to an index after a snapshot replaced the state. The snapshot
   * does not show whether these entries were applied, so the calls fail as possibly applied.
   */
  void failEntriesUpTo(long index) {
    Map<Long, PendingEntry> passed = entries.headMap(index, true);
    passed
        .values()
        .forEach(pending -> pending.answer().complete(failed("the outcome was skipped", true)));
    passed.clear();
  }

  /**
   * Fails all calls after a loss of leadership. The next leader may still commit appended entries,
   * so calls with an entry fail as possibly applied, reads as not applied.
   */
  void failAll() {
    reads.values().forEach(answer -> answer.complete(failed("leadership was lost", false)));
    reads.clear();
    entries
        .values()
        .forEach(pending -> pending.answer().complete(failed("leadership was lost", true)));
    entries.clear();
  }

  static CallFailed failed(String message, boolean applied) {
    return CallFailed.of(ErrorKind.CONTROL_UNAVAILABLE.wireName(), message, applied);
  }

  private record PendingEntry(long term, CompletableFuture<ControlAnswer> answer) {}
}

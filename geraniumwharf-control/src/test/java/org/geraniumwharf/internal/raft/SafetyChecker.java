package org.geraniumwharf.internal.raft;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * Checks two Raft safety properties over all replicas throughout a schedule: at most one leader per
 * term, and the same entry applied at each index.
 */
final class SafetyChecker {

  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final Map<Long, LogEntry> committed = new HashMap<>();
  private long newestCommittedIndex;

  void recordLeader(String name, long term) {
    String other = leaderByTerm.putIfAbsent(term, name);
    if (other != null && !other.equals(name)) {
      throw new AssertionError("term " + term + " has leaders " + other + " and " + name);
    }
  }

  void recordApplied(String name, LogEntry entry) {
    LogEntry first = committed.putIfAbsent(entry.index(), entry);
    newestCommittedIndex = Math.max(newestCommittedIndex, entry.index());
    boolean isSame =
        first == null
            || (first.term() == entry.term() && Arrays.equals(first.payload(), entry.payload()));
    if (!isSame) {
      throw new AssertionError(
          name
              + " applied a different entry at "
              + entry.index()
              + ": term "
              + entry.term()
              + " instead of "
              + first.term());
    }
  }

  long newestCommittedIndex() {
    return newestCommittedIndex;
  }
}

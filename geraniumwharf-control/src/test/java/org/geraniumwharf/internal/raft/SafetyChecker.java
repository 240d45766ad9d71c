package org.geraniumwharf.internal.raft;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.geraniumwharf.schema.state.LogEntry;

/** Checks that hold at every moment of a schedule, over all replicas. */
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
    LogEntry known = committed.putIfAbsent(entry.index(), entry);
    newestCommittedIndex = Math.max(newestCommittedIndex, entry.index());
    boolean isSame =
        known == null
            || (known.term() == entry.term() && Arrays.equals(known.payload(), entry.payload()));
    if (!isSame) {
      throw new AssertionError(
          name
              + " applied another entry at "
              + entry.index()
              + ": term "
              + entry.term()
              + " instead of "
              + known.term());
    }
  }

  long newestCommittedIndex() {
    return newestCommittedIndex;
  }
}

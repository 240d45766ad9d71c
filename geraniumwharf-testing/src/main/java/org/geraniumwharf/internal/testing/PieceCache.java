package org.geraniumwharf.internal.testing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.targets.CacheEvents;

/** An engine's bounded prefix cache, least recently used out first, with its event log. */
final class PieceCache {

  private record Change(long sequence, boolean isStored, String piece) {}

  private static final int MAX_CHANGES = 50_000;

  private final int bound;
  private final LinkedHashMap<String, Boolean> pieces = new LinkedHashMap<>(64, 0.75f, true);
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long sequence;

  PieceCache(int bound) {
    this.bound = bound;
  }

  /** Returns how many leading pieces are held. */
  synchronized int matched(List<String> names) {
    int matched = 0;
    while (matched < names.size() && pieces.get(names.get(matched)) != null) {
      matched++;
    }
    return matched;
  }

  synchronized void store(List<String> names) {
    for (String name : names) {
      if (pieces.put(name, Boolean.TRUE) == null) {
        changed(true, name);
      }
    }
    while (pieces.size() > bound) {
      String eldest = pieces.keySet().iterator().next();
      pieces.remove(eldest);
      changed(false, eldest);
    }
  }

  synchronized void clear() {
    for (Map.Entry<String, Boolean> entry : pieces.entrySet()) {
      changed(false, entry.getKey());
    }
    pieces.clear();
  }

  synchronized int size() {
    return pieces.size();
  }

  /**
   * Returns the changes of a range that is old enough to be told. When a part of it is forgotten,
   * tells everything held now instead, from a later start.
   */
  synchronized CacheEvents events(long from, long upTo) {
    if (from > sequence || from < sequence - changes.size()) {
      return CacheEvents.of(sequence, sequence, List.copyOf(pieces.keySet()), List.of());
    }
    long end = Math.max(from, Math.min(upTo, sequence));
    List<String> stored = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (Change change : changes) {
      if (change.sequence() >= from && change.sequence() < end) {
        (change.isStored() ? stored : removed).add(change.piece());
      }
    }
    return CacheEvents.of(from, end, stored, removed);
  }

  private void changed(boolean isStored, String piece) {
    changes.add(new Change(sequence++, isStored, piece));
    if (changes.size() > MAX_CHANGES) {
      changes.removeFirst();
    }
  }

  synchronized long sequence() {
    return sequence;
  }
}

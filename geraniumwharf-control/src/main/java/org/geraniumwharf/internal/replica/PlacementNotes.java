package org.geraniumwharf.internal.replica;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.messages.PlacementNote;

/** Newest placement decisions about each target, kept by the leader only and bounded. */
final class PlacementNotes {

  private static final int MAX_NOTES_PER_TARGET = 16;
  private static final int MAX_TARGETS = 4096;

  private final Map<String, Deque<PlacementNote>> byTarget = new HashMap<>();

  private PlacementNotes() {}

  static PlacementNotes create() {
    return new PlacementNotes();
  }

  void clear() {
    byTarget.clear();
  }

  /** Adds a decision; false when it repeats the newest about its target. */
  boolean add(String target, String decision, String reason, Instant now) {
    if (byTarget.size() >= MAX_TARGETS && !byTarget.containsKey(target)) {
      return false;
    }
    Deque<PlacementNote> notes = byTarget.computeIfAbsent(target, key -> new ArrayDeque<>());
    PlacementNote newest = notes.peekLast();
    if (newest != null && newest.decision().equals(decision) && newest.reason().equals(reason)) {
      return false;
    }
    notes.addLast(PlacementNote.of(decision, reason, now.toEpochMilli()));
    if (notes.size() > MAX_NOTES_PER_TARGET) {
      notes.removeFirst();
    }
    return true;
  }

  /** Returns the decisions about a target, oldest first. */
  List<PlacementNote> notesOf(String target) {
    return List.copyOf(byTarget.getOrDefault(target, new ArrayDeque<>()));
  }
}

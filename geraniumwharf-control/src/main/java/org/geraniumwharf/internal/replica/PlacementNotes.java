package org.geraniumwharf.internal.replica;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.messages.PlacementNote;

/**
 * The latest placement decisions for each target, held in memory by the leader only. Both the
 * targets and the decisions per target are bounded. Used by the replica thread only.
 */
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

  /**
   * Adds a decision and drops the target's oldest one if there are too many.
   *
   * @return false if the decision repeats the target's latest one, or if the target is new and
   *     {@link #MAX_TARGETS} has been reached
   */
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

  /** Returns the retained decisions for a target, oldest first. */
  List<PlacementNote> notesOf(String target) {
    return List.copyOf(byTarget.getOrDefault(target, new ArrayDeque<>()));
  }
}

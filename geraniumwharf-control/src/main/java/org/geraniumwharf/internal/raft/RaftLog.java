package org.geraniumwharf.internal.raft;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/** In-memory log of the entries after the last snapshot, with the memberships that they set. */
final class RaftLog {

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, Membership> memberships = new TreeMap<>();
  private long snapshotIndex;
  private long snapshotTerm;

  private RaftLog(long snapshotIndex, long snapshotTerm, Membership membership) {
    this.snapshotIndex = snapshotIndex;
    this.snapshotTerm = snapshotTerm;
    memberships.put(snapshotIndex, membership);
  }

  static RaftLog startingAfter(
      long index, long term, Membership membership, List<LogEntry> entries) {
    RaftLog log = new RaftLog(index, term, membership);
    entries.forEach(log::append);
    return log;
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  long lastIndex() {
    return snapshotIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshotTerm : entries.get(entries.size() - 1).term();
  }

  /** Returns the term of the entry at an index, or -1 if the log does not contain the index. */
  long termAt(long index) {
    if (index == snapshotIndex) {
      return snapshotTerm;
    }
    return contains(index) ? get(index).term() : -1;
  }

  boolean matches(long index, long term) {
    return termAt(index) == term;
  }

  private boolean contains(long index) {
    return index > snapshotIndex && index <= lastIndex();
  }

  LogEntry get(long index) {
    return entries.get((int) (index - snapshotIndex - 1));
  }

  /**
   * Returns entries starting at an index, limited by count and total payload bytes. The byte limit
   * does not apply to the first entry, so that a large entry can still be sent.
   */
  List<LogEntry> slice(long from, int maxCount, int maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    int bytes = 0;
    for (long i = from; i <= lastIndex() && slice.size() < maxCount; i++) {
      LogEntry entry = get(i);
      bytes += entry.payload().length;
      if (!slice.isEmpty() && bytes > maxBytes) {
        break;
      }
      slice.add(entry);
    }
    return slice;
  }

  List<LogEntry> entriesBetween(long fromExclusive, long toInclusive) {
    int from = (int) (fromExclusive - snapshotIndex);
    int to = (int) (toInclusive - snapshotIndex);
    return List.copyOf(entries.subList(from, to));
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException("entry " + entry.index() + " does not follow " + lastIndex());
    }
    entries.add(entry);
    if (entry.kind() == EntryKind.MEMBERSHIP) {
      memberships.put(entry.index(), decodeMembership(entry));
    }
  }

  /** Removes all entries from an index on. */
  void truncateFrom(long index) {
    entries.subList((int) (index - snapshotIndex - 1), entries.size()).clear();
    memberships.tailMap(index, true).clear();
  }

  /** Removes the entries up to an index that a snapshot covers. */
  void compactTo(long index) {
    Membership membership = membershipAt(index);
    long term = termAt(index);
    entries.subList(0, (int) (index - snapshotIndex)).clear();
    memberships.headMap(index, true).clear();
    memberships.put(index, membership);
    snapshotIndex = index;
    snapshotTerm = term;
  }

  /** Discards all entries and continues after a snapshot. */
  void resetTo(long index, long term, Membership membership) {
    entries.clear();
    memberships.clear();
    memberships.put(index, membership);
    snapshotIndex = index;
    snapshotTerm = term;
  }

  /** Returns the newest membership, which takes effect before it is committed. */
  Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /** Returns the membership before the newest one, if the log still contains where that was set. */
  Optional<Membership> previousMembership() {
    return Optional.ofNullable(memberships.lowerEntry(membershipIndex())).map(Map.Entry::getValue);
  }

  long membershipIndex() {
    return memberships.lastKey();
  }

  Membership membershipAt(long index) {
    Map.Entry<Long, Membership> entry = memberships.floorEntry(index);
    return entry.getValue();
  }

  private static Membership decodeMembership(LogEntry entry) {
    try {
      return Codec.messagePack().decode(entry.payload(), Membership.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

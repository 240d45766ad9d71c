package org.geraniumwharf.internal.state;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.announcement.AnnouncementOrder;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * The newest announcement and the open order of each target. Announcements that arrive late or out
 * of order are recognised by incarnation and sequence. A target that is leaving stays so until it
 * restarts.
 */
final class TargetTable {

  /** Limits the expired targets that stay in the table, apart from those with an open order. */
  private static final int MAX_EXPIRED_TARGETS = 2000;

  private final TreeMap<String, TargetRecord> records = new TreeMap<>();

  /**
   * Records an announcement.
   *
   * @return the new record; empty if the announcement is not newer than the recorded one
   */
  Optional<TargetRecord> announce(Announcement announcement) {
    TargetRecord current = records.get(announcement.id());
    if (current != null && !AnnouncementOrder.isNewer(announcement, current.announcement())) {
      return Optional.empty();
    }
    boolean wasLeaving =
        current != null
            && current.announcement().incarnation() == announcement.incarnation()
            && current.announcement().leaving();
    TargetRecord record =
        TargetRecord.of(
            announcement.withLeaving(announcement.leaving() || wasLeaving),
            false,
            retainedOrder(current, announcement));
    records.put(announcement.id(), record);
    return Optional.of(record);
  }

  /** Returns the open order of the same incarnation. A restarted target has lost its order. */
  private static Optional<OrderRecord> retainedOrder(
      TargetRecord current, Announcement announcement) {
    return current != null && current.announcement().incarnation() == announcement.incarnation()
        ? current.order()
        : Optional.empty();
  }

  /** Sets the open order of a target, or removes it. */
  TargetRecord setOrder(String id, Optional<OrderRecord> order) {
    TargetRecord record = records.get(id).withOrder(order);
    records.put(id, record);
    return record;
  }

  /**
   * Marks a target as expired.
   *
   * @return the new record; empty if the target is unknown, already expired, restarted or announced
   *     again in the meantime
   */
  Optional<TargetRecord> expire(LapseTargetCommand command) {
    TargetRecord current = records.get(command.id());
    if (current == null
        || current.lapsed()
        || current.announcement().incarnation() != command.incarnation()
        || current.announcement().sequence() > command.sequence()) {
      return Optional.empty();
    }
    TargetRecord expired =
        TargetRecord.of(
            current.announcement().withSequence(command.sequence()), true, current.order());
    records.put(command.id(), expired);
    evictExpired();
    return Optional.of(expired);
  }

  /** Removes one expired target, the first by id, if there are too many. */
  private void evictExpired() {
    List<String> expired =
        records.values().stream()
            .filter(record -> record.lapsed() && record.order().isEmpty())
            .map(record -> record.announcement().id())
            .toList();
    if (expired.size() > MAX_EXPIRED_TARGETS) {
      records.remove(expired.get(0));
    }
  }

  Optional<TargetRecord> find(String id) {
    return Optional.ofNullable(records.get(id));
  }

  Collection<TargetRecord> records() {
    return List.copyOf(records.values());
  }

  void restore(Collection<TargetRecord> restored) {
    records.clear();
    restored.forEach(record -> records.put(record.announcement().id(), record));
  }
}

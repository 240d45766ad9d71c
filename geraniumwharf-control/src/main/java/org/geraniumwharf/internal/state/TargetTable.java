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
 * Newest announcement of each target. Late and crossed announcements are ordered by incarnation and
 * sequence, and a leaving target stays leaving until it starts again.
 */
final class TargetTable {

  private static final int MAX_EXPIRED_TARGETS = 2000;

  private final TreeMap<String, TargetRecord> records = new TreeMap<>();

  /** Returns the record if the announcement changed it. */
  Optional<TargetRecord> announce(Announcement announcement) {
    TargetRecord known = records.get(announcement.id());
    if (known != null && !AnnouncementOrder.isNewer(announcement, known.announcement())) {
      return Optional.empty();
    }
    boolean wasLeaving =
        known != null
            && known.announcement().incarnation() == announcement.incarnation()
            && known.announcement().leaving();
    TargetRecord record =
        TargetRecord.of(
            announcement.withLeaving(announcement.leaving() || wasLeaving),
            false,
            retainedOrder(known, announcement));
    records.put(announcement.id(), record);
    return Optional.of(record);
  }

  /** A target that has started again knows nothing of an earlier order. */
  private static Optional<OrderRecord> retainedOrder(
      TargetRecord known, Announcement announcement) {
    return known != null && known.announcement().incarnation() == announcement.incarnation()
        ? known.order()
        : Optional.empty();
  }

  /** Sets or ends the order of a target. */
  TargetRecord setOrder(String id, Optional<OrderRecord> order) {
    TargetRecord record = records.get(id).withOrder(order);
    records.put(id, record);
    return record;
  }

  /** Returns the record if its lease ended now. */
  Optional<TargetRecord> expire(LapseTargetCommand command) {
    TargetRecord known = records.get(command.id());
    if (known == null
        || known.lapsed()
        || known.announcement().incarnation() != command.incarnation()
        || known.announcement().sequence() > command.sequence()) {
      return Optional.empty();
    }
    TargetRecord lapsed =
        TargetRecord.of(known.announcement().withSequence(command.sequence()), true, known.order());
    records.put(command.id(), lapsed);
    evictExpired();
    return Optional.of(lapsed);
  }

  private void evictExpired() {
    List<String> lapsed =
        records.values().stream()
            .filter(record -> record.lapsed() && record.order().isEmpty())
            .map(record -> record.announcement().id())
            .toList();
    if (lapsed.size() > MAX_EXPIRED_TARGETS) {
      records.remove(lapsed.get(0));
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

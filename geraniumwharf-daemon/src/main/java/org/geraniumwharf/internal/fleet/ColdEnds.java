package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.geraniumwharf.relay.ColdEnd;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * Until when the targets of a view are cold. The time that a target states counts from the arrival
 * of the change, by the own clock, so that differences between clocks do not matter. Immutable.
 */
final class ColdEnds {

  /** Difference between two ends below which they are taken to be the same one. */
  private static final Duration TOLERANCE = Duration.ofMillis(300);

  private static final ColdEnds NONE = new ColdEnds(Map.of());

  private final Map<String, Entry> entries;

  private ColdEnds(Map<String, Entry> entries) {
    this.entries = Map.copyOf(entries);
  }

  static ColdEnds none() {
    return NONE;
  }

  /** The end that follows from one announcement. */
  private record Entry(Announcement announcement, ColdEnd end) {}

  /** Returns the ends of a later view that arrived now; ends that did not change are kept. */
  ColdEnds updated(Collection<TargetRecord> targets, Instant now) {
    Map<String, Entry> next = new HashMap<>();
    for (TargetRecord target : targets) {
      Announcement announcement = target.announcement();
      if (announcement.coldMillis() > 0) {
        next.put(announcement.id(), entry(announcement, now));
      }
    }
    return next.isEmpty() ? NONE : new ColdEnds(next);
  }

  private Entry entry(Announcement announcement, Instant now) {
    Entry known = entries.get(announcement.id());
    return known != null && known.announcement().equals(announcement)
        ? known
        : new Entry(
            announcement,
            new ColdEnd(announcement.incarnation(), now.plusMillis(announcement.coldMillis())));
  }

  /** Returns the ends by the ids of the targets. */
  Map<String, ColdEnd> byTarget() {
    Map<String, ColdEnd> ends = new HashMap<>();
    entries.forEach((id, entry) -> ends.put(id, entry.end()));
    return ends;
  }

  /** Returns whether the view shows about the end that a target announces. */
  boolean shows(Announcement announcement, Instant now) {
    Entry known = entries.get(announcement.id());
    if (known == null || announcement.coldMillis() == 0) {
      return known == null && announcement.coldMillis() == 0;
    }
    Instant announced = now.plusMillis(announcement.coldMillis());
    return Duration.between(known.end().until(), announced).abs().compareTo(TOLERANCE) <= 0;
  }
}

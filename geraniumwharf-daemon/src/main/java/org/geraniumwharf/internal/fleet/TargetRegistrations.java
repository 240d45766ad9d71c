package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.announcement.AnnouncementOrder;
import org.geraniumwharf.schema.messages.TargetRenewal;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * Announcements heard at this daemon within the target lease. The lock is not held while another is
 * taken.
 */
public final class TargetRegistrations {

  private final Duration lease;
  private final Map<String, Heard> heard = new HashMap<>();

  private TargetRegistrations(Duration lease) {
    this.lease = lease;
  }

  public static TargetRegistrations create(Duration lease) {
    return new TargetRegistrations(lease);
  }

  /** Takes an announcement; false when a newer one was heard before. */
  public synchronized boolean accept(Announcement announcement, Instant now) {
    Heard known = heard.get(announcement.id());
    if (known != null && AnnouncementOrder.isNewer(known.announcement(), announcement)) {
      return false;
    }
    heard.put(announcement.id(), new Heard(announcement, now, false));
    return true;
  }

  /** Returns the newest announcement of a target that was heard here within the lease. */
  public synchronized Optional<Announcement> newest(String id) {
    return Optional.ofNullable(heard.get(id)).map(Heard::announcement);
  }

  /** What the next heartbeat carries. */
  record Report(List<Announcement> announcements, List<TargetRenewal> renewals) {}

  /** Collects what was heard since the last report, in full where the view differs. */
  synchronized Report takeReport(FleetSnapshot view, Instant now) {
    heard.values().removeIf(entry -> !now.isBefore(entry.at().plus(lease)));
    List<Announcement> announcements = new ArrayList<>();
    List<TargetRenewal> renewals = new ArrayList<>();
    for (Map.Entry<String, Heard> entry : heard.entrySet()) {
      Announcement announcement = entry.getValue().announcementAt(now);
      if (!view.shows(announcement, now)) {
        announcements.add(announcement);
      } else if (!entry.getValue().isReported()) {
        renewals.add(
            TargetRenewal.of(
                announcement.id(), announcement.incarnation(), announcement.sequence()));
      }
    }
    return new Report(announcements, renewals);
  }

  /** Notes that a report arrived, so that only newer announcements renew a lease. */
  synchronized void reported(Report report) {
    report.announcements().forEach(sent -> markReported(sent.id(), sent.sequence()));
    report.renewals().forEach(sent -> markReported(sent.id(), sent.sequence()));
  }

  private void markReported(String id, long sequence) {
    Heard known = heard.get(id);
    if (known != null && known.announcement().sequence() == sequence) {
      heard.put(id, new Heard(known.announcement(), known.at(), true));
    }
  }

  private record Heard(Announcement announcement, Instant at, boolean isReported) {

    /** Returns the announcement with the time for which the target is still cold. */
    Announcement announcementAt(Instant now) {
      long left = announcement.coldMillis() - Duration.between(at, now).toMillis();
      return announcement.coldMillis() == 0
          ? announcement
          : announcement.withColdMillis(Math.max(0, left));
    }
  }
}

package org.geraniumwharf.announcement;

import org.geraniumwharf.schema.targets.Announcement;

/**
 * Compares announcements of one target, which may arrive late or out of order.
 *
 * <pre>{@code
 * boolean isUpdate = AnnouncementOrder.isNewer(received, current);
 * }</pre>
 */
public final class AnnouncementOrder {

  private AnnouncementOrder() {}

  /** Returns whether one announcement was made after the other. */
  public static boolean isNewer(Announcement candidate, Announcement current) {
    return isNewer(
        candidate.incarnation(), candidate.sequence(), current.incarnation(), current.sequence());
  }

  /** Same as {@link #isNewer(Announcement, Announcement)}, by incarnations and sequences. */
  public static boolean isNewer(
      long incarnation, long sequence, long currentIncarnation, long currentSequence) {
    return incarnation > currentIncarnation
        || (incarnation == currentIncarnation && sequence > currentSequence);
  }

  /**
   * Returns whether two announcements are equal apart from their sequences and the time for which
   * the target stays cold, which differs between messages about the same end.
   */
  public static boolean hasSameContent(Announcement one, Announcement other) {
    return one.withSequence(0).withColdMillis(0).equals(other.withSequence(0).withColdMillis(0));
  }
}

package org.geraniumwharf.announcement;

import org.geraniumwharf.schema.targets.Announcement;

/**
 * Order and equality of announcements of one target.
 *
 * <pre>{@code
 * boolean isNews = AnnouncementOrder.isNewer(heard, known);
 * }</pre>
 */
public final class AnnouncementOrder {

  private AnnouncementOrder() {}

  /** Tells whether an announcement was made after another. */
  public static boolean isNewer(Announcement candidate, Announcement known) {
    return isNewer(
        candidate.incarnation(), candidate.sequence(), known.incarnation(), known.sequence());
  }

  /** Tells the same of incarnations and sequences. */
  public static boolean isNewer(
      long incarnation, long sequence, long knownIncarnation, long knownSequence) {
    return incarnation > knownIncarnation
        || (incarnation == knownIncarnation && sequence > knownSequence);
  }

  /** Tells whether two announcements differ in nothing but their sequence. */
  public static boolean hasSameContent(Announcement one, Announcement other) {
    return one.withSequence(0).equals(other.withSequence(0));
  }
}

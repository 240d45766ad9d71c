package org.geraniumwharf.internal.replica;

/**
 * Decides when a replica saves a snapshot. Bounds both the number and the bytes of the log entries
 * that the replica holds in memory and reads back when it starts: entries differ in size by a
 * factor of thousands, since each publication carries its whole document. Not thread-safe.
 */
final class SnapshotSchedule {

  private final int maxEntries;
  private final long minBytes;
  private long snapshotIndex;
  private long snapshotBytes;
  private long appliedBytes;

  private SnapshotSchedule(int maxEntries, long minBytes) {
    this.maxEntries = maxEntries;
    this.minBytes = minBytes;
  }

  /**
   * Creates the schedule of a replica without a snapshot.
   *
   * @param maxEntries applied entries after which a snapshot is due
   * @param minBytes payload of applied entries, in bytes, after which a snapshot is due; if the
   *     last snapshot is larger, then its size, so that saving it again is worth its cost
   */
  static SnapshotSchedule of(int maxEntries, long minBytes) {
    return new SnapshotSchedule(maxEntries, minBytes);
  }

  void recordApplied(int payloadBytes) {
    appliedBytes += payloadBytes;
  }

  /**
   * Returns whether a snapshot is due.
   *
   * @param index index of the last applied entry
   */
  boolean isDue(long index) {
    return index > snapshotIndex
        && (index - snapshotIndex >= maxEntries
            || appliedBytes >= Math.max(minBytes, snapshotBytes));
  }

  /** Records that no snapshot could be saved; the next is due after as much has been applied. */
  void recordFailed(long index) {
    snapshotIndex = index;
    appliedBytes = 0;
  }

  /** Records that a snapshot was saved here or received from the leader. */
  void recordSaved(long index, long bytes) {
    snapshotIndex = index;
    snapshotBytes = bytes;
    appliedBytes = 0;
  }
}

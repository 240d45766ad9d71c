package org.geraniumwharf.internal.raft;

import java.time.Instant;

/** What a leader knows of one other replica. */
final class Progress {

  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;
  private Instant lastResponseAt;
  private Instant snapshotSentAt = Instant.MIN;

  Progress(long next, Instant answeredAt) {
    this.nextIndex = next;
    this.lastResponseAt = answeredAt;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long acknowledgedRound() {
    return acknowledgedRound;
  }

  Instant lastResponseAt() {
    return lastResponseAt;
  }

  Instant snapshotSentAt() {
    return snapshotSentAt;
  }

  void recordSnapshotSent(Instant now) {
    snapshotSentAt = now;
  }

  /** Assumes that sent entries arrive; a lost message shows in the next rejected heartbeat. */
  void recordSentUpTo(long index) {
    nextIndex = Math.max(nextIndex, index + 1);
  }

  void recordResponse(long answeredRound, Instant now) {
    lastResponseAt = now;
    acknowledgedRound = Math.max(acknowledgedRound, answeredRound);
  }

  void recordAccepted(long acceptedIndex) {
    if (acceptedIndex > matchIndex) {
      matchIndex = acceptedIndex;
      snapshotSentAt = Instant.MIN;
    }
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /** A hint below what matched before comes from a replica that lost its disk. */
  void recordRejected(long hint) {
    matchIndex = Math.min(matchIndex, hint);
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, hint + 1));
  }
}

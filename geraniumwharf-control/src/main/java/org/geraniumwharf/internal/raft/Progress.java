package org.geraniumwharf.internal.raft;

import java.time.Instant;

/** Replication progress of one other replica as seen by the leader. */
final class Progress {

  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;
  private Instant lastResponseAt;
  private Instant snapshotSentAt = Instant.MIN;

  Progress(long nextIndex, Instant lastResponseAt) {
    this.nextIndex = nextIndex;
    this.lastResponseAt = lastResponseAt;
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

  /**
   * Advances the next index without waiting for a response. If the message is lost, the replica
   * rejects the next heartbeat, which moves the index back.
   */
  void recordSentUpTo(long index) {
    nextIndex = Math.max(nextIndex, index + 1);
  }

  void recordResponse(long round, Instant now) {
    lastResponseAt = now;
    acknowledgedRound = Math.max(acknowledgedRound, round);
  }

  void recordAccepted(long acceptedIndex) {
    if (acceptedIndex > matchIndex) {
      matchIndex = acceptedIndex;
      snapshotSentAt = Instant.MIN;
    }
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  /**
   * Moves the next index back to the replica's hint. A hint below the match index means that the
   * replica lost its disk, so the match index is lowered too.
   */
  void recordRejected(long hint) {
    matchIndex = Math.min(matchIndex, hint);
    nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, hint + 1));
  }
}

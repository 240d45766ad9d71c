package org.geraniumwharf.internal.raft;

import org.geraniumwharf.schema.state.Membership;

/** State machine snapshot that covers all log entries up to an index. */
public final class RaftSnapshot {

  private final long index;
  private final long term;
  private final Membership membership;
  private final byte[] data;

  private RaftSnapshot(long index, long term, Membership membership, byte[] data) {
    this.index = index;
    this.term = term;
    this.membership = membership;
    this.data = data;
  }

  /**
   * Returns a snapshot.
   *
   * @param index index of the last entry it covers
   * @param term term of that entry
   * @param membership members of the group at that index
   * @param data encoded state; not copied, so it must not be modified afterwards
   */
  public static RaftSnapshot of(long index, long term, Membership membership, byte[] data) {
    return new RaftSnapshot(index, term, membership, data);
  }

  public long index() {
    return index;
  }

  public long term() {
    return term;
  }

  public Membership membership() {
    return membership;
  }

  public byte[] data() {
    return data;
  }
}

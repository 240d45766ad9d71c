package org.geraniumwharf.internal.raft;

/**
 * A linearizable read whose index was confirmed by a quorum.
 *
 * @param id id that the caller passed to {@link RaftCore#requestReadIndex}
 * @param index commit index to apply before the read; every change that was acknowledged before the
 *     read was requested has at most this index
 */
public record ConfirmedRead(long id, long index) {}

package org.geraniumwharf.internal.raft;

/** Role of a replica in its replication group. */
public enum Role {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}

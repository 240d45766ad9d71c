package org.geraniumwharf.internal.raft;

import java.time.Duration;

/**
 * Heartbeat interval and election timeout of one replication group.
 *
 * @param heartbeatInterval interval between two heartbeats of the leader
 * @param electionTimeout minimum election timeout; each timeout is random between this value and
 *     twice this value
 */
public record RaftTiming(Duration heartbeatInterval, Duration electionTimeout) {

  public static RaftTiming of(Duration heartbeatInterval, Duration electionTimeout) {
    return new RaftTiming(heartbeatInterval, electionTimeout);
  }
}

package org.geraniumwharf.internal.raft;

import java.time.Duration;

/**
 * Timing of one replication group.
 *
 * @param heartbeatInterval time between heartbeats of the leader
 * @param electionTimeout shortest election timeout; each is drawn between once and twice this
 */
public record RaftTiming(Duration heartbeatInterval, Duration electionTimeout) {

  public static RaftTiming of(Duration heartbeat, Duration election) {
    return new RaftTiming(heartbeat, election);
  }
}

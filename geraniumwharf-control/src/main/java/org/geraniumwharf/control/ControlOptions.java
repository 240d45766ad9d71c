package org.geraniumwharf.control;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Options of a control instance.
 *
 * @param name name of this instance
 * @param instances names of the control instances of a new group, this one among them
 * @param dataFolder folder of the replica's files
 * @param heartbeatInterval time between heartbeats of the leader
 * @param electionTimeout shortest election timeout
 * @param snapshotEntries applied entries between snapshots
 * @param targetLease time without a heartbeat after which a target expires
 * @param daemonLease time without a heartbeat after which a daemon counts as stopped
 * @param runRetention time for which a finished run is retained
 * @param maxRuns largest number of finished runs that are retained
 * @param toleratedLosses number of instances that may be lost at once without losing acknowledged
 *     changes, if the group replaces unresponsive instances automatically; {@link
 *     #MEMBERS_BY_OPERATORS} if it does not
 * @param startedAt time at which the process was started, by its own clock
 */
public record ControlOptions(
    String name,
    List<String> instances,
    Path dataFolder,
    Duration heartbeatInterval,
    Duration electionTimeout,
    int snapshotEntries,
    Duration targetLease,
    Duration daemonLease,
    Duration runRetention,
    int maxRuns,
    int toleratedLosses,
    Instant startedAt) {

  /** Value of {@link #toleratedLosses} if operators change the members of the group. */
  public static final int MEMBERS_BY_OPERATORS = 0;

  public ControlOptions {
    instances = List.copyOf(instances);
  }

  /** Returns the same options for a group with other initial instances. */
  public ControlOptions withInstances(List<String> initialInstances) {
    return new ControlOptions(
        name,
        initialInstances,
        dataFolder,
        heartbeatInterval,
        electionTimeout,
        snapshotEntries,
        targetLease,
        daemonLease,
        runRetention,
        maxRuns,
        toleratedLosses,
        startedAt);
  }
}

package org.geraniumwharf.control;

import java.nio.file.Path;
import java.time.Duration;
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
 * @param targetLease silence after which a target lapses
 * @param daemonLease silence after which a daemon counts as gone
 * @param runRetention time a finished run is kept
 * @param maxRuns most finished runs kept
 * @param toleratedLosses instances that may be lost at once without losing what was acknowledged,
 *     where the group replaces silent instances by itself; {@link #MEMBERS_BY_OPERATORS} where it
 *     does not
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
    int toleratedLosses) {

  /** In place of {@link #toleratedLosses}: operators change the members of the group. */
  public static final int MEMBERS_BY_OPERATORS = 0;

  public ControlOptions {
    instances = List.copyOf(instances);
  }

  /** Returns the same options for a group that begins with other instances. */
  public ControlOptions withInstances(List<String> changed) {
    return new ControlOptions(
        name,
        changed,
        dataFolder,
        heartbeatInterval,
        electionTimeout,
        snapshotEntries,
        targetLease,
        daemonLease,
        runRetention,
        maxRuns,
        toleratedLosses);
  }
}

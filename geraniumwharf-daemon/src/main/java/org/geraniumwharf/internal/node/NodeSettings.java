package org.geraniumwharf.internal.node;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.relay.ColdBounds;
import org.geraniumwharf.weights.ReplacedWeights;

/**
 * Settings of one process of a relaying fleet.
 *
 * @param label name of the process for logs
 * @param dataCentre data centre it stands in
 * @param dataFolder folder of the replicated log; present where it holds control state
 * @param isBootstrap whether the whole fleet starts for the first time
 * @param peer address for the other processes; it is also the name within the control group
 * @param entry address for callers, where it takes requests
 * @param ready address of the readiness check, where it takes requests
 * @param control address for targets and operators, where it holds control state
 * @param metrics address of the metrics
 * @param seeds peer addresses of the first control instances
 * @param tolerated control instances that may be lost at once
 * @param clusterKey key that proves membership between processes
 * @param retryShare repeats of all instances together, relative to the requests
 * @param retryReserve repeats of all instances together beyond that share
 * @param replacedWeights time after which no request may begin on replaced weights
 * @param heldRequests most requests held before the first confirmed view; 0 to refuse them
 * @param evacuation time after which an ordered evacuation must be in force; empty to take no such
 *     orders
 * @param coldBounds bounds of the requests to a cold target; empty to treat it like any other
 * @param isQueueFair whether queued requests are ordered by fair shares and slack
 * @param isCostLearned whether placement uses learned speeds of targets and costs of requests
 * @param regions name of the region by the name of the data centre, where it is known
 * @param grace time between the signal to stop and the end of the process
 */
public record NodeSettings(
    String label,
    String dataCentre,
    Optional<Path> dataFolder,
    boolean isBootstrap,
    String peer,
    Optional<String> entry,
    Optional<String> ready,
    Optional<String> control,
    Optional<String> metrics,
    List<String> seeds,
    int tolerated,
    String clusterKey,
    double retryShare,
    double retryReserve,
    ReplacedWeights.Bounds replacedWeights,
    int heldRequests,
    Optional<Duration> evacuation,
    Optional<ColdBounds> coldBounds,
    boolean isQueueFair,
    boolean isCostLearned,
    Map<String, String> regions,
    Duration grace) {

  public NodeSettings {
    seeds = List.copyOf(seeds);
    regions = Map.copyOf(regions);
  }

  /** Tells whether the process takes requests of callers. */
  public boolean isEntry() {
    return entry.isPresent();
  }

  /** Tells whether the process holds control state. */
  public boolean isControl() {
    return dataFolder.isPresent() && control.isPresent();
  }
}

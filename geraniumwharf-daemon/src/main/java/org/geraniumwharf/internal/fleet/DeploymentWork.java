package org.geraniumwharf.internal.fleet;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.schema.messages.DeploymentDemand;

/** Requests in flight or queued by deployment, told to the leader with each heartbeat. */
public final class DeploymentWork {

  private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  private DeploymentWork() {}

  public static DeploymentWork create() {
    return new DeploymentWork();
  }

  /** Counts a request until the returned handle is closed. */
  public Handle begin(String deployment) {
    AtomicInteger count = inFlight.computeIfAbsent(deployment, key -> new AtomicInteger());
    count.incrementAndGet();
    return count::decrementAndGet;
  }

  List<DeploymentDemand> demands() {
    return inFlight.entrySet().stream()
        .filter(entry -> entry.getValue().get() > 0)
        .map(entry -> DeploymentDemand.of(entry.getKey(), entry.getValue().get()))
        .toList();
  }

  /** One counted request. */
  public interface Handle extends AutoCloseable {

    @Override
    void close();
  }
}

package org.geraniumwharf.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue with start-time fair queueing between organisations. Within an organisation the request of
 * least cost is dequeued first. The cost that counts for this falls while a request waits, so that
 * long requests are not starved by short ones. Not thread-safe.
 */
final class FairQueue {

  private static final double AGEING_TOKENS_PER_SECOND = 2000;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final Map<String, Flow> flows = new HashMap<>();
  private double virtualTime;
  private int size;
  private double totalCost;

  void add(QueuedRequest request) {
    Flow flow = flows.computeIfAbsent(request.organisation(), name -> new Flow());
    if (flow.queued.isEmpty()) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
    }
    flow.queued.add(request);
    size++;
    totalCost += request.cost();
  }

  /** Removes and returns the first eligible request; the others keep their positions. */
  Optional<QueuedRequest> poll(Predicate<QueuedRequest> eligible, Instant now) {
    List<Flow> ordered =
        flows.values().stream()
            .filter(flow -> !flow.queued.isEmpty())
            .sorted(Comparator.comparingDouble(flow -> flow.startTag))
            .toList();
    for (Flow flow : ordered) {
      Optional<QueuedRequest> next =
          flow.queued.stream()
              .filter(eligible)
              .min(Comparator.comparingDouble(request -> agedCost(request, now)));
      if (next.isPresent()) {
        dequeue(flow, next.get());
        return next;
      }
    }
    return Optional.empty();
  }

  private void dequeue(Flow flow, QueuedRequest request) {
    virtualTime = Math.max(virtualTime, flow.startTag);
    flow.startTag += request.cost() / request.weight();
    removeFromFlow(flow, request);
  }

  /** Removes a request and returns whether it was queued. */
  boolean remove(QueuedRequest request) {
    Flow flow = flows.get(request.organisation());
    return flow != null && flow.queued.contains(request) && removeFromFlow(flow, request);
  }

  private boolean removeFromFlow(Flow flow, QueuedRequest request) {
    flow.queued.remove(request);
    size--;
    totalCost -= request.cost();
    if (flow.queued.isEmpty() && flow.startTag <= virtualTime) {
      flows.remove(request.organisation());
    }
    return true;
  }

  int size() {
    return size;
  }

  /** Returns the sum of the costs of all queued requests, in tokens. */
  double totalCost() {
    return totalCost;
  }

  private static double agedCost(QueuedRequest request, Instant now) {
    double waitedSeconds = Duration.between(request.arrival(), now).toMillis() / MILLIS_PER_SECOND;
    return request.cost() - waitedSeconds * AGEING_TOKENS_PER_SECOND;
  }

  /** Queued requests of one organisation, with the virtual start time of the next one. */
  private static final class Flow {
    private final List<QueuedRequest> queued = new ArrayList<>();
    private double startTag;
  }
}

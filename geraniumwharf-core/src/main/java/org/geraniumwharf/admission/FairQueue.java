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
 * Start-time fair queue over organisations; within one organisation the cheapest request goes first
 * and waiting makes a request cheaper, so that short work passes long work and long work still ends
 * its wait. Not safe for use by several threads.
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

  /** Takes the next request that passes a test, skipping the others. */
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

  /** Returns the expected work of all that waits, in tokens. */
  double totalCost() {
    return totalCost;
  }

  private static double agedCost(QueuedRequest request, Instant now) {
    double waitedSeconds = Duration.between(request.arrival(), now).toMillis() / MILLIS_PER_SECOND;
    return request.cost() - waitedSeconds * AGEING_TOKENS_PER_SECOND;
  }

  private static final class Flow {
    private final List<QueuedRequest> queued = new ArrayList<>();
    private double startTag;
  }
}

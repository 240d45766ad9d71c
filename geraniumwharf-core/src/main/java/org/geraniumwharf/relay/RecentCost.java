package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Cost dispatched recently by name, with exponential forgetting. Not thread-safe. */
final class RecentCost {

  private static final double TIME_CONSTANT_MILLIS = 4000;

  /** Time within which the costs are not aged again, ms. */
  private static final double MIN_STEP_MILLIS = 20;

  /** Most names that are kept; beyond that the least cost is forgotten. */
  private static final int MAX_NAMES = 256;

  /** Fraction of the total from which a name counts as active. */
  private static final double ACTIVE_SHARE = 0.002;

  private final Map<String, Double> costs = new HashMap<>();
  private double total;
  private Instant agedAt = Instant.MIN;

  void add(String name, double cost, Instant now) {
    age(now);
    if (!costs.containsKey(name) && costs.size() >= MAX_NAMES) {
      forgetLeast();
    }
    costs.merge(name, cost, Double::sum);
    total += cost;
  }

  private void forgetLeast() {
    Map.Entry<String, Double> least = null;
    for (Map.Entry<String, Double> entry : costs.entrySet()) {
      if (least == null || entry.getValue() < least.getValue()) {
        least = entry;
      }
    }
    if (least != null) {
      total = Math.max(0, total - least.getValue());
      costs.remove(least.getKey());
    }
  }

  /** Reduces the costs by the time since they were last aged; none if the clock went backwards. */
  void age(Instant now) {
    if (agedAt.equals(Instant.MIN)) {
      agedAt = now;
    }
    double elapsed = Elapsed.millis(agedAt, now);
    if (elapsed < MIN_STEP_MILLIS) {
      return;
    }
    agedAt = now;
    double factor = Math.exp(-elapsed / TIME_CONSTANT_MILLIS);
    total *= factor;
    double least = total * ACTIVE_SHARE;
    costs.replaceAll((name, cost) -> cost * factor);
    costs.values().removeIf(cost -> cost < least);
  }

  double total() {
    return total;
  }

  /** Returns the cost that each active name would have if all had the same. */
  double equalShare() {
    return total / Math.max(1, costs.size());
  }

  double of(String name) {
    return costs.getOrDefault(name, 0.0);
  }
}

package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Share of the recent requests of each kind that were served rather than refused. Finds the kinds
 * that starve, whatever the cause. Not thread-safe.
 */
final class ServedShares {

  private static final double TIME_CONSTANT_MILLIS = 10_000;

  /** Time within which the counts are not aged again, ms. */
  private static final double MIN_STEP_MILLIS = 50;

  /** A kind is starved that is served less than this times as often as all. */
  private static final double STARVED_SHARE = 0.6;

  /** Requests of a kind from which its share is known well enough. */
  private static final double MIN_REQUESTS = 2;

  /** Kinds are configured, so that there are few; more than this would be a fault elsewhere. */
  private static final int MAX_KINDS = 512;

  private static final class Count {
    private double served;
    private double ended;

    private void add(double weight, boolean isServed) {
      ended += weight;
      served += isServed ? weight : 0;
    }

    private void scale(double factor) {
      served *= factor;
      ended *= factor;
    }
  }

  private final Map<String, Count> kinds = new HashMap<>();
  private final Count all = new Count();
  private Instant agedAt = Instant.MIN;

  /**
   * Records a request that was served or refused.
   *
   * @param weight 1, or less for one of an organisation beyond its share
   */
  void record(String kind, double weight, boolean isServed, Instant now) {
    age(now);
    if (kinds.size() >= MAX_KINDS) {
      kinds.clear();
    }
    recordPart(kind, weight, isServed);
    all.add(weight, isServed);
  }

  /** Records a request of a part of a kind, which was recorded for its kind. */
  void recordPart(String part, double weight, boolean isServed) {
    kinds.computeIfAbsent(part, name -> new Count()).add(weight, isServed);
  }

  private void age(Instant now) {
    if (agedAt.equals(Instant.MIN)) {
      agedAt = now;
    }
    double elapsed = Elapsed.millis(agedAt, now);
    if (elapsed >= MIN_STEP_MILLIS) {
      agedAt = now;
      double factor = Math.exp(-elapsed / TIME_CONSTANT_MILLIS);
      kinds.values().forEach(count -> count.scale(factor));
      all.scale(factor);
    }
  }

  /** Returns whether a kind is served much less often than all. */
  boolean isStarved(String kind) {
    Count count = kinds.get(kind);
    return count != null
        && count.ended >= MIN_REQUESTS
        && count.served * all.ended < STARVED_SHARE * all.served * count.ended;
  }
}

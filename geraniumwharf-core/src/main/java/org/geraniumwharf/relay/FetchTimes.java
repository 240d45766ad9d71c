package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates by how much fetches from each cache store are slower than its link suggests. A target
 * does not report how long a fetch took, so the estimate is the difference between the delays of
 * first tokens with and without a fetch from the store. Safe for use by several threads; no other
 * lock is taken while its lock is held.
 *
 * <p>Handles the load pattern of a store that turns slow, or is asked for more than its link
 * carries: fetches queue up there, and requests would wait for seconds for what their target
 * computes in a fraction of one. Few requests try such a store until it is fast again.
 */
public final class FetchTimes {

  /** Weights of a new sample of a store, of which there are few: of a slower and a faster one. */
  private static final double SLOWER_SMOOTHING = 0.3;

  private static final double FASTER_SMOOTHING = 0.5;

  private static final double BASELINE_SMOOTHING = 0.05;

  /** Bounds the effect of one sample. */
  private static final double MAX_SAMPLE_MILLIS = 2500;

  /** Interval between the requests that try a store which is not worth fetching from. */
  private static final Duration TRIAL_INTERVAL = Duration.ofMillis(250);

  private final Map<String, Store> stores = new HashMap<>();
  private double baselineMillis;

  private FetchTimes() {}

  public static FetchTimes create() {
    return new FetchTimes();
  }

  /** Records the delay of a first token, beyond its estimate, of a request without any fetch. */
  public synchronized void recordWithoutFetch(double delayMillis) {
    baselineMillis += BASELINE_SMOOTHING * (bounded(delayMillis) - baselineMillis);
  }

  /** Records the delay of a first token, beyond its estimate, of a request that fetched. */
  public synchronized void recordFetch(String store, double delayMillis) {
    Store times = stores.computeIfAbsent(store, name -> new Store());
    double sample = bounded(delayMillis) - baselineMillis;
    double smoothing = sample > times.delayMillis ? SLOWER_SMOOTHING : FASTER_SMOOTHING;
    times.delayMillis += smoothing * (sample - times.delayMillis);
  }

  private static double bounded(double millis) {
    return Math.max(-MAX_SAMPLE_MILLIS, Math.min(MAX_SAMPLE_MILLIS, millis));
  }

  /** Returns by how much a fetch from a store currently takes longer than its link suggests, ms. */
  public synchronized double delayMillis(String store) {
    Store times = stores.get(store);
    return times == null ? 0 : Math.max(0, times.delayMillis);
  }

  /**
   * Returns whether a request may try a store that is not worth fetching from, so that its recovery
   * is noticed.
   */
  public synchronized boolean tryStore(String store, Instant now) {
    Store times = stores.computeIfAbsent(store, name -> new Store());
    if (now.isBefore(times.nextTrialAt)) {
      return false;
    }
    times.nextTrialAt = now.plus(TRIAL_INTERVAL);
    return true;
  }

  private static final class Store {

    private double delayMillis;
    private Instant nextTrialAt = Instant.MIN;
  }
}

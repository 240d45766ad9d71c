package org.geraniumwharf.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the rate at which the engines of each service compute prompts, from the times to the
 * first token of requests that found no others before them. Safe for use by several threads; no
 * other lock is taken while its lock is held.
 */
public final class PrefillRate {

  /** Rate that is assumed until requests have been measured, tokens/ms. */
  static final double INITIAL_TOKENS_PER_MILLI = 140;

  /** Prompts that are shorter say little, since their time is mostly that of one step. */
  private static final int MIN_TOKENS = 1000;

  /** Time to the first token besides the prefill, ms. */
  private static final double OVERHEAD_MILLIS = 40;

  private static final double MIN_TOKENS_PER_MILLI = 5;
  private static final double MAX_TOKENS_PER_MILLI = 2000;

  /**
   * Relative steps towards a sample above and below the estimate. Requests of other instances only
   * make samples slower, so the estimate follows the faster ones.
   */
  private static final double STEP_UP = 0.04;

  private static final double STEP_DOWN = 0.015;

  private final Map<String, Double> tokensPerMilli = new HashMap<>();

  private PrefillRate() {}

  public static PrefillRate create() {
    return new PrefillRate();
  }

  /**
   * Records a first token.
   *
   * @param computedTokens tokens of the prompt that the engine had to compute
   * @param backlogMillis backlog of the engine when the request was sent, ms
   * @param firstTokenMillis time from the send to the first token, ms
   */
  public synchronized void record(
      String service, int computedTokens, long backlogMillis, double firstTokenMillis) {
    if (computedTokens < MIN_TOKENS || backlogMillis > 0) {
      return;
    }
    double sample = computedTokens / Math.max(1, firstTokenMillis - OVERHEAD_MILLIS);
    double current = tokensPerMilli(service);
    double next = current * (sample > current ? 1 + STEP_UP : 1 - STEP_DOWN);
    tokensPerMilli.put(
        service, Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, next)));
  }

  /** Returns the estimated rate of the engines of a service, tokens/ms. */
  public synchronized double tokensPerMilli(String service) {
    return tokensPerMilli.getOrDefault(service, INITIAL_TOKENS_PER_MILLI);
  }
}

package org.geraniumwharf.relay;

import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Rates at which the engines of a service obtain the prompt of a request.
 *
 * @param prefillTokensPerMilli rate at which an engine computes a prompt, tokens/ms
 * @param fetchTokensPerMilli rate at which an engine fetches kept cache over its link, tokens/ms
 */
public record EngineRates(double prefillTokensPerMilli, double fetchTokensPerMilli) {

  private static final double BYTES_PER_MILLI_PER_MEGABIT = 125;

  /** Rate that is assumed where the link of an engine is not stated, tokens/ms. */
  private static final double DEFAULT_FETCH_TOKENS_PER_MILLI = 240;

  /** Creates the rates of engines whose prefill rate has been estimated. */
  public static EngineRates of(EngineCapacity engine, double prefillTokensPerMilli) {
    return new EngineRates(prefillTokensPerMilli, tokensPerMilli(engine.linkMegabits(), engine));
  }

  private static double tokensPerMilli(double linkMegabits, EngineCapacity engine) {
    return linkMegabits > 0
        ? linkMegabits * BYTES_PER_MILLI_PER_MEGABIT / engine.bytesPerToken()
        : DEFAULT_FETCH_TOKENS_PER_MILLI;
  }

  /** Returns the time to compute a part of a prompt, ms. */
  double computeMillis(double tokens) {
    return tokens / prefillTokensPerMilli;
  }

  /** Returns the time to fetch a part of a prompt while the link is idle, ms. */
  double fetchMillis(double tokens) {
    return tokens / fetchTokensPerMilli;
  }

  /** Returns the time to fetch a part of a prompt from a store while both links are idle, ms. */
  double fetchMillis(double tokens, CacheStore store, EngineCapacity engine) {
    double storeRate = tokensPerMilli(store.linkMegabits(), engine);
    return store.firstByteMillis() + tokens / Math.min(storeRate, fetchTokensPerMilli);
  }
}

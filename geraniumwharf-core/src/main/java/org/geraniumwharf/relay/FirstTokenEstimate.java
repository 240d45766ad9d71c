package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * What was expected of a generation when it was sent to its target.
 *
 * @param choice choice of the target, with the estimated time to the first token
 * @param transfers transfers that were planned when the request was sent
 * @param sentAt time when the request was sent
 */
public record FirstTokenEstimate(
    RelayPlacement.Choice choice, CacheTransfers transfers, Instant sentAt) {

  /** Fraction of the fetched tokens from which a fetch is attributed to one store. */
  private static final double DOMINANT_SHARE = 0.6;

  /** Returns the time since the request was sent, ms. */
  public double elapsedMillis(Instant now) {
    return Duration.between(sentAt, now).toNanos() / 1e6;
  }

  /** Returns by how much the time since the request was sent exceeds the estimate, ms. */
  public double delayMillis(EngineRates rates, Instant now) {
    int fetchAtChoice = Math.max(0, choice.storedTokens() - choice.cachedTokens());
    int fetchAtSend = Math.max(0, transfers.totalFetchedTokens() - choice.cachedTokens());
    int more = fetchAtSend - fetchAtChoice;
    double expected = choice.costMillis() + rates.fetchMillis(more) - rates.computeMillis(more);
    return elapsedMillis(now) - expected;
  }

  /** Returns the store from which most of the tokens are fetched. */
  public Optional<String> dominantStore() {
    int total = transfers.totalFetchedTokens();
    return transfers.fetchedTokens().entrySet().stream()
        .filter(fetched -> fetched.getValue() >= DOMINANT_SHARE * total)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}

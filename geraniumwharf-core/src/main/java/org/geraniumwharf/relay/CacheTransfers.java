package org.geraniumwharf.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The transfers between a target and the cache stores for one request, with one element for each
 * part of its prompt.
 *
 * @param fetch address of the store from which the target fetches the part, if any
 * @param save address of the store to which the target saves the part once it is computed, if any
 * @param fetchedTokens tokens that the target fetches, by name of the store
 */
public record CacheTransfers(
    List<Optional<String>> fetch, List<Optional<String>> save, Map<String, Integer> fetchedTokens) {

  private static final CacheTransfers NONE = new CacheTransfers(List.of(), List.of(), Map.of());

  public CacheTransfers {
    fetch = List.copyOf(fetch);
    save = List.copyOf(save);
    fetchedTokens = Map.copyOf(fetchedTokens);
  }

  /** Returns the tokens that the target fetches from all stores. */
  public int totalFetchedTokens() {
    return fetchedTokens.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns a plan without any transfer. */
  public static CacheTransfers none() {
    return NONE;
  }
}

package org.geraniumwharf.relay;

import java.util.List;
import java.util.Optional;

/**
 * The transfers between a target and the cache stores for one request, with one element for each
 * part of its prompt.
 *
 * @param fetch address of the store from which the target fetches the part, if any
 * @param save address of the store to which the target saves the part once it is computed, if any
 */
public record CacheTransfers(List<Optional<String>> fetch, List<Optional<String>> save) {

  private static final CacheTransfers NONE = new CacheTransfers(List.of(), List.of());

  public CacheTransfers {
    fetch = List.copyOf(fetch);
    save = List.copyOf(save);
  }

  /** Returns a plan without any transfer. */
  public static CacheTransfers none() {
    return NONE;
  }
}

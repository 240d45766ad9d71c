package org.geraniumwharf.relay;

import java.util.List;
import java.util.Optional;

/**
 * What a target exchanges with cache stores for one request, one entry for each part of its prompt.
 *
 * @param fetch address of the store that holds the part
 * @param save address of the store that is to hold the part once it is read
 */
public record CacheTransfers(List<Optional<String>> fetch, List<Optional<String>> save) {

  private static final CacheTransfers NONE = new CacheTransfers(List.of(), List.of());

  public CacheTransfers {
    fetch = List.copyOf(fetch);
    save = List.copyOf(save);
  }

  /** Returns no exchange at all. */
  public static CacheTransfers none() {
    return NONE;
  }
}

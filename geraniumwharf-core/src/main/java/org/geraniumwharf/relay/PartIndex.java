package org.geraniumwharf.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the targets that have a prompt part cached. Without it, each decision would look the parts
 * up at each target. Not safe for use by several threads.
 */
final class PartIndex {

  private final Map<String, List<CachedParts>> holdersByKey = new HashMap<>();
  private long lastSearch;

  void add(String key, CachedParts holder) {
    List<CachedParts> holders = holdersByKey.get(key);
    if (holders == null) {
      holders = new ArrayList<>(1);
      holdersByKey.put(key, holders);
    }
    holders.add(holder);
  }

  void remove(String key, CachedParts holder) {
    List<CachedParts> holders = holdersByKey.get(key);
    holders.remove(holder);
    if (holders.isEmpty()) {
      holdersByKey.remove(key);
    }
  }

  /**
   * Finds the longest cached prefix of a prompt at each target.
   *
   * @param keys {@linkplain CachedParts#keys keys} of the parts
   * @return number of the search, by which {@link CachedParts#foundTokens} returns its result
   */
  long search(List<String> keys, List<PromptPart> parts) {
    long search = ++lastSearch;
    for (int i = 0; i < keys.size(); i++) {
      List<CachedParts> holders = holdersByKey.get(keys.get(i));
      if (holders == null) {
        return search;
      }
      int tokens = parts.get(i).tokens();
      for (int j = 0; j < holders.size(); j++) {
        holders.get(j).found(search, i, tokens);
      }
    }
    return search;
  }
}

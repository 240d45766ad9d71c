package org.geraniumwharf.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts one target has cached. The least recently used parts are evicted
 * once the total exceeds the capacity of the target. Not safe for use by several threads.
 */
final class CachedParts {

  private final LinkedHashMap<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
  private final PartIndex index;
  private long tokens;

  private long lastSearch;
  private int foundParts;
  private int foundTokens;

  CachedParts(PartIndex index) {
    this.index = index;
  }

  /**
   * Records that the target computes a prompt.
   *
   * @param keys {@linkplain #keys keys} of the parts
   * @param capacityTokens capacity of the cache of the target, tokens
   */
  void add(List<String> keys, List<PromptPart> parts, long capacityTokens) {
    for (int i = 0; i < keys.size(); i++) {
      int length = parts.get(i).tokens();
      Integer previous = tokensByPart.put(keys.get(i), length);
      tokens += length - (previous == null ? 0 : previous);
      if (previous == null) {
        index.add(keys.get(i), this);
      }
    }
    var eldest = tokensByPart.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      Map.Entry<String, Integer> entry = eldest.next();
      tokens -= entry.getValue();
      index.remove(entry.getKey(), this);
      eldest.remove();
    }
  }

  /** Returns the length of the longest cached prefix of a prompt, tokens. */
  int cachedTokens(List<String> keys, List<PromptPart> parts) {
    int cached = 0;
    for (int i = 0; i < keys.size(); i++) {
      if (!tokensByPart.containsKey(keys.get(i))) {
        return cached;
      }
      cached += parts.get(i).tokens();
    }
    return cached;
  }

  /** Records that a search of the index found a part here; parts are searched in order. */
  void found(long search, int part, int partTokens) {
    if (part == 0) {
      lastSearch = search;
      foundParts = 0;
      foundTokens = 0;
    }
    if (lastSearch == search && foundParts == part) {
      foundParts++;
      foundTokens += partTokens;
    }
  }

  /** Returns the length of the cached prefix that a search of the index found, tokens. */
  int foundTokens(long search) {
    return lastSearch == search ? foundTokens : 0;
  }

  void clear() {
    for (String key : tokensByPart.keySet()) {
      index.remove(key, this);
    }
    tokensByPart.clear();
    tokens = 0;
  }

  /** Returns the keys of the parts of a prompt, in order. */
  static List<String> keys(String scope, List<PromptPart> parts) {
    List<String> keys = new ArrayList<>(parts.size());
    for (PromptPart part : parts) {
      keys.add(scope + '/' + part.id());
    }
    return keys;
  }
}

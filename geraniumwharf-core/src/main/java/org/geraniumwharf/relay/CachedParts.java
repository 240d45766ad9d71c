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
  private long tokens;

  /**
   * Records that the target computes a prompt.
   *
   * @param capacityTokens capacity of the cache of the target, tokens
   */
  void add(String scope, List<PromptPart> parts, long capacityTokens) {
    for (PromptPart part : parts) {
      Integer previous = tokensByPart.put(key(scope, part), part.tokens());
      tokens += part.tokens() - (previous == null ? 0 : previous);
    }
    var eldest = tokensByPart.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      Map.Entry<String, Integer> entry = eldest.next();
      tokens -= entry.getValue();
      eldest.remove();
    }
  }

  /**
   * Returns the length of the longest cached prefix of a prompt, tokens.
   *
   * @param keys {@linkplain #keys keys} of the parts
   */
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

  boolean isEmpty() {
    return tokensByPart.isEmpty();
  }

  /** Returns the keys of the parts of a prompt, in order. */
  static List<String> keys(String scope, List<PromptPart> parts) {
    List<String> keys = new ArrayList<>(parts.size());
    for (PromptPart part : parts) {
      keys.add(key(scope, part));
    }
    return keys;
  }

  void clear() {
    tokensByPart.clear();
    tokens = 0;
  }

  private static String key(String scope, PromptPart part) {
    return scope + '/' + part.id();
  }
}

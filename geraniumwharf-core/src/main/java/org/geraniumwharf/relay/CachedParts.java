package org.geraniumwharf.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that one target probably keeps, the least recently used forgotten first once
 * they exceed what the target has room for.
 */
final class CachedParts {

  private final LinkedHashMap<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /** Notes that a target has read a prompt. */
  void add(String scope, List<PromptPart> parts, long capacityTokens) {
    for (PromptPart part : parts) {
      Integer known = tokensByPart.put(key(scope, part), part.tokens());
      tokens += part.tokens() - (known == null ? 0 : known);
    }
    var eldest = tokensByPart.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      Map.Entry<String, Integer> entry = eldest.next();
      tokens -= entry.getValue();
      eldest.remove();
    }
  }

  /** Returns the tokens of the longest known start of a prompt. */
  int cachedTokens(String scope, List<PromptPart> parts) {
    int kept = 0;
    for (PromptPart part : parts) {
      if (!tokensByPart.containsKey(key(scope, part))) {
        return kept;
      }
      kept += part.tokens();
    }
    return kept;
  }

  void clear() {
    tokensByPart.clear();
    tokens = 0;
  }

  private static String key(String scope, PromptPart part) {
    return scope + '/' + part.id();
  }
}

package org.geraniumwharf.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that one target probably keeps, the least recently used forgotten first once
 * they exceed what the target has room for.
 */
final class KnownParts {

  private final LinkedHashMap<String, Integer> tokensOfPart = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /** Notes that a target has read a prompt. */
  void add(String scope, List<PromptPart> parts, long capacityTokens) {
    for (PromptPart part : parts) {
      Integer known = tokensOfPart.put(key(scope, part), part.tokens());
      tokens += part.tokens() - (known == null ? 0 : known);
    }
    var eldest = tokensOfPart.entrySet().iterator();
    while (tokens > capacityTokens && eldest.hasNext()) {
      Map.Entry<String, Integer> entry = eldest.next();
      tokens -= entry.getValue();
      eldest.remove();
    }
  }

  /** Returns the tokens of the longest known start of a prompt. */
  int keptTokens(String scope, List<PromptPart> parts) {
    int kept = 0;
    for (PromptPart part : parts) {
      if (!tokensOfPart.containsKey(key(scope, part))) {
        return kept;
      }
      kept += part.tokens();
    }
    return kept;
  }

  void clear() {
    tokensOfPart.clear();
    tokens = 0;
  }

  private static String key(String scope, PromptPart part) {
    return scope + '/' + part.id();
  }
}

package org.geraniumwharf.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keys under which the parts of a prompt are cached, which depend on the weights of the target.
 * They are computed once per request and version. Not safe for use by several threads.
 */
final class PartKeys {

  private final ResolvedRequest resolved;
  private final Map<Long, List<String>> keysByVersion = new HashMap<>();
  private long lastVersion;
  private List<String> lastKeys = List.of();

  PartKeys(ResolvedRequest resolved) {
    this.resolved = resolved;
  }

  /** Returns the key of each part of the prompt at a target. */
  List<String> at(RelayTarget target) {
    if (lastKeys.isEmpty() || lastVersion != target.weightsVersion()) {
      lastVersion = target.weightsVersion();
      List<String> known = keysByVersion.get(lastVersion);
      if (known == null) {
        known = CachedParts.keys(resolved.cacheScope(target), resolved.request().prompt());
        keysByVersion.put(lastVersion, known);
      }
      lastKeys = known;
    }
    return lastKeys;
  }
}

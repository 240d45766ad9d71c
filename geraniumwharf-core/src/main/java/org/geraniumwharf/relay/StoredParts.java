package org.geraniumwharf.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Prompt parts that each cache store holds, according to the events of the stores. Contains only
 * parts that a store reported as complete. Safe for use by several threads; no other lock is taken
 * while its lock is held.
 */
public final class StoredParts {

  private final Map<String, Store> stores = new HashMap<>();

  private StoredParts() {}

  public static StoredParts create() {
    return new StoredParts();
  }

  /**
   * Records a part that is complete at a store.
   *
   * @param tokens length of the part
   */
  public synchronized void add(String store, String scope, String part, int tokens) {
    Store held = stores.computeIfAbsent(store, name -> new Store());
    Integer previous = held.tokensByPart.put(key(scope, part), tokens);
    held.tokens += tokens - (previous == null ? 0 : previous);
  }

  /** Records that a store no longer holds a part. */
  public synchronized void remove(String store, String scope, String part) {
    Store held = stores.computeIfAbsent(store, name -> new Store());
    Integer previous = held.tokensByPart.remove(key(scope, part));
    held.tokens -= previous == null ? 0 : previous;
  }

  /**
   * Removes all parts of a store, whose contents are unknown once it has restarted or is
   * unavailable.
   */
  public synchronized void removeStore(String store) {
    stores.remove(store);
  }

  /** Returns the first of the named stores that holds a part. */
  public synchronized Optional<String> findHolder(
      Collection<String> names, String scope, PromptPart part) {
    String key = key(scope, part.id());
    for (String name : names) {
      Store store = stores.get(name);
      if (store != null && store.tokensByPart.containsKey(key)) {
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  /** Returns the total length of the parts that a store reported, tokens. */
  public synchronized long storedTokens(String store) {
    return stores.containsKey(store) ? stores.get(store).tokens : 0;
  }

  private static String key(String scope, String part) {
    return scope + '/' + part;
  }

  private static final class Store {

    private final Map<String, Integer> tokensByPart = new HashMap<>();
    private long tokens;
  }
}

package org.geraniumwharf.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which cache stores hold which parts of prompts, as far as the stores have told. Only parts that a
 * store reported as whole are listed. Safe for use by several threads; its lock is innermost.
 */
public final class StoredParts {

  private final Map<String, Store> stores = new HashMap<>();

  private StoredParts() {}

  public static StoredParts create() {
    return new StoredParts();
  }

  /** Notes a part that is whole at a store. */
  public synchronized void add(String store, String scope, String part, int tokens) {
    Store known = stores.computeIfAbsent(store, name -> new Store());
    Integer before = known.tokensByPart.put(key(scope, part), tokens);
    known.tokens += tokens - (before == null ? 0 : before);
  }

  /** Notes a part that a store no longer holds. */
  public synchronized void remove(String store, String scope, String part) {
    Store known = stores.computeIfAbsent(store, name -> new Store());
    Integer before = known.tokensByPart.remove(key(scope, part));
    known.tokens -= before == null ? 0 : before;
  }

  /** Forgets what a store held, as after it started again or while it does not answer. */
  public synchronized void removeStore(String store) {
    stores.remove(store);
  }

  /** Returns one of the stores that hold a part. */
  public synchronized Optional<String> findHolder(
      Collection<String> names, String scope, PromptPart part) {
    String key = key(scope, part.id());
    return names.stream()
        .filter(stores::containsKey)
        .filter(name -> stores.get(name).tokensByPart.containsKey(key))
        .findFirst();
  }

  /** Returns the tokens that a store is known to hold. */
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

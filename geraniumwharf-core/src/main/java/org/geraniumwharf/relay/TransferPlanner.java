package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.schema.objects.CacheStore;

/**
 * Decides which parts of a prompt a target fetches from stores and which it saves there. Parts that
 * other requests share are saved once, at the store that a hash names, as long as it has room; a
 * part is fetched only from a store that has reported it as whole. Nothing is ever freed, so a
 * fetch cannot meet a part that goes away. Safe for use by several threads; its lock is held while
 * no other but that of the stored parts is taken.
 */
public final class TransferPlanner {

  /** Time after which a part that was to be saved and was not reported is saved again. */
  private static final Duration SAVE_RETRY_INTERVAL = Duration.ofSeconds(3);

  /** Part of a store's room that is left to saves under way. */
  private static final double MAX_STORE_FILL = 0.95;

  private static final int MAX_TRACKED_SAVES = 20_000;

  private final StoredParts stored;
  private final Map<String, Instant> savePlannedAt = new HashMap<>();

  private TransferPlanner(StoredParts stored) {
    this.stored = stored;
  }

  public static TransferPlanner of(StoredParts stored) {
    return new TransferPlanner(stored);
  }

  /**
   * Plans the exchange of one request.
   *
   * @param stores stores that answer
   * @param scope name under which the target keeps the prompt
   */
  public synchronized CacheTransfers plan(
      ResolvedRequest work, List<CacheStore> stores, String scope, Instant now) {
    if (!work.isGeneration() || stores.isEmpty()) {
      return CacheTransfers.none();
    }
    List<Optional<String>> fetch = new ArrayList<>();
    List<Optional<String>> save = new ArrayList<>();
    for (PromptPart part : work.request().prompt()) {
      Optional<CacheStore> holder = findHolder(stores, scope, part);
      boolean isShared = fetch.size() < work.sharedParts().size();
      fetch.add(holder.map(CacheStore::address));
      save.add(
          holder.isEmpty() && isShared ? planSave(stores, scope, part, now) : Optional.empty());
    }
    return new CacheTransfers(fetch, save);
  }

  /** Returns the tokens at the start of a prompt that stores hold. */
  public int storedTokens(ResolvedRequest work, List<CacheStore> stores, String scope) {
    int tokens = 0;
    for (PromptPart part : work.request().prompt()) {
      if (findHolder(stores, scope, part).isEmpty()) {
        return tokens;
      }
      tokens += part.tokens();
    }
    return tokens;
  }

  private Optional<CacheStore> findHolder(List<CacheStore> stores, String scope, PromptPart part) {
    List<String> names = stores.stream().map(CacheStore::name).toList();
    Optional<String> holder = stored.findHolder(names, scope, part);
    return stores.stream().filter(store -> holder.equals(Optional.of(store.name()))).findFirst();
  }

  private Optional<String> planSave(
      List<CacheStore> stores, String scope, PromptPart part, Instant now) {
    String key = scope + '/' + part.id();
    Instant last = savePlannedAt.getOrDefault(key, Instant.MIN);
    if (now.isBefore(last.equals(Instant.MIN) ? last : last.plus(SAVE_RETRY_INTERVAL))) {
      return Optional.empty();
    }
    Optional<CacheStore> store =
        stores.stream()
            .filter(candidate -> hasFreeCapacity(candidate, part))
            .max(Comparator.comparingDouble(candidate -> preference(candidate, key)));
    if (store.isPresent()) {
      recordPlannedSave(key, now);
    }
    return store.map(CacheStore::address);
  }

  private void recordPlannedSave(String key, Instant now) {
    if (savePlannedAt.size() >= MAX_TRACKED_SAVES) {
      savePlannedAt.values().removeIf(at -> !now.isBefore(at.plus(SAVE_RETRY_INTERVAL)));
    }
    savePlannedAt.put(key, now);
  }

  private boolean hasFreeCapacity(CacheStore store, PromptPart part) {
    return stored.storedTokens(store.name()) + part.tokens() < MAX_STORE_FILL * store.cacheTokens();
  }

  /** Weighted rendezvous hashing: a store is preferred in proportion to its room. */
  private static double preference(CacheStore store, String key) {
    double position = RendezvousHash.fraction(RendezvousHash.keyOf(key + '@' + store.name()));
    return -store.cacheTokens() / Math.log(Math.max(position, Double.MIN_NORMAL));
  }
}

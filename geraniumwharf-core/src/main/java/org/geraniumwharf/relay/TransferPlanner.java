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
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Decides which parts of a prompt a target fetches from cache stores and which it saves there.
 * Parts that other requests share are saved once, to a store with free capacity that weighted
 * rendezvous hashing selects; a part is fetched only from a store that reported it as complete.
 * Parts are never freed at a store, so none can disappear during a fetch. Safe for use by several
 * threads; the only other locks taken while its lock is held are those of the stored parts and the
 * fetch times.
 *
 * <p>Handles the load pattern of a store that is slow or overloaded: a store from which fetches
 * currently take longer than computing the parts, and longer than the time goal of the request
 * leaves, is left out but for single trials.
 */
public final class TransferPlanner {

  /** Time after which a part whose save was planned but never reported is saved again. */
  private static final Duration SAVE_RETRY_INTERVAL = Duration.ofSeconds(3);

  /**
   * Fraction of the capacity of a store up to which saves are planned; the rest is left to saves in
   * progress.
   */
  private static final double MAX_STORE_FILL = 0.95;

  private static final int MAX_TRACKED_SAVES = 20_000;

  /**
   * Fraction of the time goal of a request within which a fetch is preferred to computing, which
   * would take the time of other requests at the engine.
   */
  private static final double GOAL_SHARE_FOR_FETCH = 0.35;

  private final StoredParts stored;
  private final FetchTimes fetchTimes;
  private final Map<String, Instant> savePlannedAt = new HashMap<>();

  private TransferPlanner(StoredParts stored, FetchTimes fetchTimes) {
    this.stored = stored;
    this.fetchTimes = fetchTimes;
  }

  public static TransferPlanner of(StoredParts stored, FetchTimes fetchTimes) {
    return new TransferPlanner(stored, fetchTimes);
  }

  /**
   * Plans the transfers of one request.
   *
   * @param stores available stores
   * @param scope cache scope of the request at the target
   * @param rates rates of the engines of the service
   */
  public synchronized CacheTransfers plan(
      ResolvedRequest resolved,
      List<CacheStore> stores,
      String scope,
      EngineRates rates,
      Instant now) {
    if (!resolved.isGeneration() || stores.isEmpty()) {
      return CacheTransfers.none();
    }
    List<Optional<CacheStore>> holders = findHolders(resolved, stores, scope);
    Map<String, Integer> tokens = tokensByStore(resolved, holders);
    for (CacheStore store : stores) {
      Integer held = tokens.get(store.name());
      if (held != null
          && !isWorthFetching(resolved, store, held, rates)
          && !fetchTimes.tryStore(store.name(), now)) {
        tokens.remove(store.name());
      }
    }
    List<Optional<String>> fetch = new ArrayList<>();
    List<Optional<String>> save = new ArrayList<>();
    for (PromptPart part : resolved.request().prompt()) {
      Optional<CacheStore> holder = holders.get(fetch.size());
      boolean isShared = fetch.size() < resolved.sharedParts().size();
      boolean isFetched = holder.isPresent() && tokens.containsKey(holder.get().name());
      fetch.add(isFetched ? Optional.of(holder.get().address()) : Optional.empty());
      save.add(
          holder.isEmpty() && isShared ? planSave(stores, scope, part, now) : Optional.empty());
    }
    return new CacheTransfers(fetch, save, tokens);
  }

  private List<Optional<CacheStore>> findHolders(
      ResolvedRequest resolved, List<CacheStore> stores, String scope) {
    List<String> names = new ArrayList<>(stores.size());
    for (CacheStore store : stores) {
      names.add(store.name());
    }
    List<Optional<CacheStore>> holders = new ArrayList<>();
    for (PromptPart part : resolved.request().prompt()) {
      Optional<String> holder = stored.findHolder(names, scope, part);
      holders.add(holder.isEmpty() ? Optional.empty() : find(stores, holder.get()));
    }
    return holders;
  }

  private static Optional<CacheStore> find(List<CacheStore> stores, String name) {
    for (CacheStore store : stores) {
      if (store.name().equals(name)) {
        return Optional.of(store);
      }
    }
    return Optional.empty();
  }

  /** Returns the length of what each store holds, tokens, by its name. */
  private static Map<String, Integer> tokensByStore(
      ResolvedRequest resolved, List<Optional<CacheStore>> holders) {
    Map<String, Integer> tokens = new HashMap<>();
    for (int i = 0; i < holders.size(); i++) {
      if (holders.get(i).isPresent()) {
        int length = resolved.request().prompt().get(i).tokens();
        tokens.merge(holders.get(i).get().name(), length, Integer::sum);
      }
    }
    return tokens;
  }

  private boolean isWorthFetching(
      ResolvedRequest resolved, CacheStore store, int tokens, EngineRates rates) {
    EngineCapacity engine = resolved.service().engine().orElseThrow();
    double fetchMillis =
        rates.fetchMillis(tokens, store, engine) + fetchTimes.delayMillis(store.name());
    double goalMillis = GOAL_SHARE_FOR_FETCH * resolved.route().goalMillis();
    return fetchMillis <= Math.max(goalMillis, rates.computeMillis(tokens));
  }

  /** Returns the length of the prompt prefix that is worth fetching from stores, tokens. */
  public int storedTokens(
      ResolvedRequest resolved, List<CacheStore> stores, String scope, EngineRates rates) {
    if (stores.isEmpty()) {
      return 0;
    }
    List<Optional<CacheStore>> holders = findHolders(resolved, stores, scope);
    Map<String, Integer> tokens = tokensByStore(resolved, holders);
    int length = 0;
    for (int i = 0; i < holders.size(); i++) {
      if (holders.get(i).isEmpty()) {
        return length;
      }
      CacheStore holder = holders.get(i).get();
      if (!isWorthFetching(resolved, holder, tokens.get(holder.name()), rates)) {
        return length;
      }
      length += resolved.request().prompt().get(i).tokens();
    }
    return length;
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

  /** Weighted rendezvous hashing: each store is preferred in proportion to its total capacity. */
  private static double preference(CacheStore store, String key) {
    double position = RendezvousHash.fraction(RendezvousHash.keyOf(key + '@' + store.name()));
    return -store.cacheTokens() / Math.log(Math.max(position, Double.MIN_NORMAL));
  }
}

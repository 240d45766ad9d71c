package org.geraniumwharf.internal.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.EngineRates;
import org.geraniumwharf.relay.FetchTimes;
import org.geraniumwharf.relay.FirstTokenEstimate;
import org.geraniumwharf.relay.PrefillRate;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.relay.TransferPlanner;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Plans the transfers between targets and cache stores, and learns from first tokens how fast
 * engines compute and stores transfer. Safe for use by several threads.
 */
final class RelayTransfers {

  private final RelayAdmission admission;
  private final KnownStores stores;
  private final RegionRules regions;
  private final FetchTimes fetchTimes = FetchTimes.create();
  private final PrefillRate prefillRate = PrefillRate.create();
  private final TransferPlanner planner;

  private RelayTransfers(RelayAdmission admission, KnownStores stores, RegionRules regions) {
    this.admission = admission;
    this.stores = stores;
    this.regions = regions;
    this.planner = TransferPlanner.of(stores.storedParts(), fetchTimes);
  }

  static RelayTransfers create(RelayAdmission admission, KnownStores stores, RegionRules regions) {
    return new RelayTransfers(admission, stores, regions);
  }

  /** Returns the length of the prompt prefix that is worth fetching from stores, tokens. */
  int storedTokens(ResolvedRequest request, List<RelayTarget> targets, Instant now) {
    if (!request.isGeneration() || targets.isEmpty()) {
      return 0;
    }
    return planner.storedTokens(
        request, availableStores(request, now), request.cacheScope(targets.get(0)), rates(request));
  }

  /** Plans which parts a target fetches from and saves to cache stores for a request. */
  CacheTransfers plan(ResolvedRequest request, RelayTarget target, Instant now) {
    return planner.plan(
        request, availableStores(request, now), request.cacheScope(target), rates(request), now);
  }

  /** Returns the rates of the engines of a request's service, which has none if it is plain. */
  EngineRates rates(ResolvedRequest request) {
    double prefill = prefillRate.tokensPerMilli(request.service().name());
    Optional<EngineCapacity> engine = request.service().engine();
    return engine.isPresent()
        ? EngineRates.of(engine.get(), prefill)
        : new EngineRates(prefill, prefill);
  }

  /** Returns the stores that may hold KV cache of a request and are available. */
  private List<CacheStore> availableStores(ResolvedRequest request, Instant now) {
    List<CacheStore> available = new ArrayList<>();
    for (CacheStore store : admission.routing().stores()) {
      if (regions.allows(request, store.dataCentre()) && stores.isAvailable(store.name(), now)) {
        available.add(store);
      }
    }
    return available;
  }

  /** Learns from the first token of a generation, or from its absence until now. */
  void recordFirstToken(ResolvedRequest request, FirstTokenEstimate estimate, Instant now) {
    if (!request.isGeneration()) {
      return;
    }
    double delay = estimate.delayMillis(rates(request), now);
    Map<String, Integer> fetched = estimate.transfers().fetchedTokens();
    if (!fetched.isEmpty()) {
      estimate.dominantStore().ifPresent(store -> fetchTimes.recordFetch(store, delay));
      return;
    }
    fetchTimes.recordWithoutFetch(delay);
    prefillRate.record(
        request.service().name(),
        request.request().promptTokens() - estimate.choice().cachedTokens(),
        estimate.choice().load().backlogMillis(),
        estimate.elapsedMillis(now));
  }
}

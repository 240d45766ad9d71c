package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.internal.target.CacheTransferClient;
import org.geraniumwharf.internal.target.StoreClient;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.keptcache.ExportPolicy;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.keptcache.LinkTable;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.prefix.PrefixAnchors;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.ImportOrder;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptObject;

/**
 * Exports computed context to stores and imports it into engines. An object is stored at the
 * preferred store of its anchor piece, chosen by rendezvous hashing, so that a lookup queries one
 * or two stores. A failure only means that the context is computed again; it never fails a request.
 */
public final class KeptCache {

  private static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(100);
  private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(30);
  private static final int EXPORT_THREADS = 8;
  private static final int MAX_QUEUED_EXPORTS = 256;

  private final boolean isEnabled;
  private final FleetViewHolder fleet;
  private final StoreClient stores;
  private final CacheTransferClient transfers;
  private final LinkTable links;
  private final ExportPolicy exportPolicy;
  private final EventLog log;
  private final InstantSource clock;
  private final ThreadPoolExecutor exportExecutor =
      new ThreadPoolExecutor(
          EXPORT_THREADS,
          EXPORT_THREADS,
          10,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(MAX_QUEUED_EXPORTS),
          KeptCache::newThread);

  private KeptCache(
      boolean isEnabled,
      FleetViewHolder fleet,
      StoreClient stores,
      CacheTransferClient transfers,
      LinkTable links,
      ExportPolicy exportPolicy,
      EventLog log,
      InstantSource clock) {
    this.isEnabled = isEnabled;
    this.fleet = fleet;
    this.stores = stores;
    this.transfers = transfers;
    this.links = links;
    this.exportPolicy = exportPolicy;
    this.log = log;
    this.clock = clock;
    exportExecutor.allowCoreThreadTimeOut(true);
  }

  /**
   * Creates a kept cache with no exports running.
   *
   * @param isEnabled whether anything is exported or looked up at all
   */
  public static KeptCache create(
      boolean isEnabled,
      FleetViewHolder fleet,
      StoreClient stores,
      CacheTransferClient transfers,
      LinkTable links,
      ExportPolicy exportPolicy,
      EventLog log,
      InstantSource clock) {
    return new KeptCache(isEnabled, fleet, stores, transfers, links, exportPolicy, log, clock);
  }

  private static Thread newThread(Runnable work) {
    return DaemonThreads.create(work, "cache-export");
  }

  /** Records a request, from which the export policy estimates how often contexts recur. */
  void recordRequest(GenerationPlan plan) {
    exportPolicy.recordVisit(plan.organisation(), plan.pieces());
  }

  /**
   * Returns the longest kept prefix of a context; empty if none is found or a lookup fails.
   *
   * @param recomputeMillis time that an import could save, ms; no store is queried if it is short
   */
  Optional<KeptPrefix> find(GenerationPlan plan, double recomputeMillis) {
    if (!isEnabled || !exportPolicy.isWorthwhile(plan.organisation(), recomputeMillis)) {
      return Optional.empty();
    }
    List<KeptPrefix> found = new ArrayList<>();
    for (PieceName anchor : PrefixAnchors.of(plan.pieces())) {
      preferredStore(anchor).ifPresent(store -> found.addAll(lookUp(store, anchor, plan)));
    }
    return found.stream().max(Comparator.comparingInt(KeptPrefix::pieces));
  }

  private Optional<RoutableTarget> preferredStore(PieceName anchor) {
    Instant now = clock.instant();
    List<RoutableTarget> usable =
        fleet.current().stores().stream().filter(store -> links.isUsable(store.id(), now)).toList();
    return RendezvousHash.preferredTarget(usable, anchor.low());
  }

  private List<KeptPrefix> lookUp(RoutableTarget store, PieceName anchor, GenerationPlan plan) {
    try {
      KeptLookup lookup = KeptLookup.of(List.of(anchor.wireName()));
      return stores.lookUp(store.id(), store.address(), lookup, LOOKUP_TIMEOUT).stream()
          .filter(object -> isPrefix(object, plan.pieces()))
          .map(object -> keptPrefix(store, object))
          .toList();
    } catch (TargetCallException e) {
      links.recordFailure(store.id(), 0, clock.instant());
      log.warn(Event.of("lookup-failed").with("store", store.id()).with("cause", e.getMessage()));
      return List.of();
    }
  }

  /** Compares the last piece only, since its name is derived from all pieces before it. */
  private static boolean isPrefix(KeptObject object, List<PieceName> pieces) {
    return object.pieces() > 0
        && object.pieces() <= pieces.size()
        && pieces.get(object.pieces() - 1).wireName().equals(object.lastPiece());
  }

  private KeptPrefix keptPrefix(RoutableTarget store, KeptObject object) {
    return KeptPrefix.of(
        store.id(),
        store.address(),
        object.key(),
        object.pieces(),
        links.expectedMillis(store.id(), object.bytes()));
  }

  /**
   * Imports a kept prefix into an engine before a request is dispatched there. A failure is logged
   * and the engine computes the prefix instead.
   */
  void importInto(RoutableTarget engine, KeptPrefix kept, GenerationPlan plan, Duration timeout) {
    long bytes = plan.cacheBytes(kept.pieces());
    Instant start = clock.instant();
    links.recordStart(kept.store(), bytes);
    try {
      List<String> names = plan.pieceNames().subList(0, kept.pieces());
      transfers.importFrom(engine, ImportOrder.of(kept.address(), kept.key(), names), timeout);
      Duration duration = Duration.between(start, clock.instant());
      links.recordFinish(kept.store(), bytes, duration);
      log.info(
          Event.of("import")
              .with("engine", engine.id())
              .with("store", kept.store())
              .with("key", kept.key())
              .with("pieces", kept.pieces())
              .with("millis", duration.toMillis()));
    } catch (TargetCallException e) {
      links.recordFailure(kept.store(), bytes, clock.instant());
      log.warn(
          Event.of("import-failed")
              .with("engine", engine.id())
              .with("store", kept.store())
              .with("key", kept.key())
              .with("cause", e.getMessage()));
    }
  }

  /** Exports the context of a finished request in the background, if the policy allows. */
  void exportLater(RoutableTarget engine, GenerationPlan plan) {
    double recompute = 1000.0 * plan.contextTokens() / engine.profile().prefillTokensPerSecond();
    if (!isEnabled
        || !exportPolicy.markIfWorthKeeping(plan.organisation(), plan.pieces(), recompute)) {
      return;
    }
    PieceName anchor = PrefixAnchors.of(plan.pieces()).get(0);
    Optional<RoutableTarget> store = preferredStore(anchor);
    long bytes = plan.cacheBytes(plan.pieces().size());
    if (store.isEmpty() || !links.tryStartExport(store.get().id(), bytes)) {
      exportPolicy.recordKeptPieces(plan.pieces(), 0);
      return;
    }
    try {
      exportExecutor.execute(() -> export(engine, store.get(), anchor, plan, bytes));
    } catch (RejectedExecutionException e) {
      links.recordFinish(store.get().id(), 0, Duration.ofMillis(1));
      exportPolicy.recordKeptPieces(plan.pieces(), 0);
    }
  }

  private void export(
      RoutableTarget engine,
      RoutableTarget store,
      PieceName anchor,
      GenerationPlan plan,
      long bytes) {
    Instant start = clock.instant();
    List<String> names = plan.pieceNames();
    KeptObject object =
        KeptObject.of(
            RequestIds.newObjectKey(),
            anchor.wireName(),
            names.size(),
            names.get(names.size() - 1),
            bytes);
    try {
      transfers.exportTo(engine, ExportOrder.of(store.address(), object, names), EXPORT_TIMEOUT);
      Duration duration = Duration.between(start, clock.instant());
      links.recordFinish(store.id(), bytes, duration);
      log.info(
          Event.of("export")
              .with("engine", engine.id())
              .with("store", store.id())
              .with("key", object.key())
              .with("pieces", object.pieces())
              .with("bytes", bytes)
              .with("millis", duration.toMillis()));
    } catch (TargetCallException e) {
      links.recordFailure(store.id(), bytes, clock.instant());
      exportPolicy.recordKeptPieces(plan.pieces(), 0);
      log.warn(
          Event.of("export-failed")
              .with("engine", engine.id())
              .with("store", store.id())
              .with("key", object.key())
              .with("cause", e.getMessage()));
    }
  }

  /** Returns the number of queued and running exports. */
  public int openExports() {
    return exportExecutor.getActiveCount() + exportExecutor.getQueue().size();
  }
}

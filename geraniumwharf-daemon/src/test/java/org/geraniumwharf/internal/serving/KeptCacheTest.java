package org.geraniumwharf.internal.serving;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.target.CacheTransferClient;
import org.geraniumwharf.internal.target.StoreClient;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.keptcache.ExportPolicy;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.keptcache.LinkTable;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.ImportOrder;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeptCacheTest {

  private static final double LONG_RECOMPUTE = 500;

  private final FleetViewHolder fleet = Fixtures.fleet(2, 2);
  private final FakeStores stores = new FakeStores();
  private final FakeTransfers transfers = new FakeTransfers();
  private Instant now = Fixtures.NOW;
  private KeptCache cache;
  private GenerationPlan plan;

  @BeforeEach
  void create() throws ServingException {
    cache =
        KeptCache.create(
            true,
            fleet,
            stores,
            transfers,
            LinkTable.create(),
            ExportPolicy.create(100),
            EventLog.none(),
            () -> now);
    plan = Fixtures.plan(fleet, 3200);
  }

  @Test
  void should_find_the_longest_prefix_of_the_context() {
    stores.objects.add(object("short", 64, plan.pieceNames().get(63)));
    stores.objects.add(object("long", 128, plan.pieceNames().get(127)));

    Optional<KeptPrefix> found = cache.find(plan, LONG_RECOMPUTE);

    assertEquals("long", found.orElseThrow().key());
  }

  @Test
  void should_not_use_an_object_whose_last_piece_differs() {
    stores.objects.add(object("foreign", 128, "0".repeat(32)));
    stores.objects.add(object("too-long", 900, plan.pieceNames().get(0)));

    assertTrue(cache.find(plan, LONG_RECOMPUTE).isEmpty());
  }

  @Test
  void should_not_query_stores_for_a_prefix_that_is_computed_quickly() {
    stores.objects.add(object("long", 128, plan.pieceNames().get(127)));

    assertTrue(cache.find(plan, 10).isEmpty());
    assertEquals(0, stores.lookups);
  }

  @Test
  void should_avoid_a_store_that_failed_for_a_while() {
    stores.isFailing = true;
    cache.find(plan, LONG_RECOMPUTE);
    int lookupsAtFirst = stores.lookups;
    cache.find(plan, LONG_RECOMPUTE);
    int lookupsAtOnce = stores.lookups;
    now = now.plusSeconds(10);
    cache.find(plan, LONG_RECOMPUTE);

    assertTrue(lookupsAtFirst > 0);
    assertEquals(2, lookupsAtOnce);
    assertTrue(stores.lookups > lookupsAtOnce);
  }

  @Test
  void should_go_on_without_an_import_that_fails() {
    transfers.isFailing = true;
    KeptPrefix kept = KeptPrefix.of("store-1", "http://127.0.0.1:9", "key", 64, 10);

    cache.importInto(engine(), kept, plan, Duration.ofSeconds(1));

    assertEquals(1, transfers.imports);
  }

  @Test
  void should_export_a_context_once_until_it_has_grown() throws ServingException {
    cache.exportLater(engine(), plan);
    cache.exportLater(engine(), plan);
    cache.exportLater(engine(), Fixtures.plan(fleet, 3300));
    cache.exportLater(engine(), Fixtures.plan(fleet, 4100));
    await().until(() -> cache.openExports() == 0);

    assertEquals(2, transfers.exports.size());
  }

  @Test
  void should_export_again_after_a_failure_under_a_key_that_was_never_used() {
    transfers.isFailing = true;
    cache.exportLater(engine(), plan);
    await().until(() -> cache.openExports() == 0);
    transfers.isFailing = false;
    now = now.plusSeconds(10);
    cache.exportLater(engine(), plan);
    await().until(() -> cache.openExports() == 0);

    List<String> keys =
        transfers.exports.stream().map(order -> order.object().key()).distinct().toList();
    assertEquals(2, keys.size());
  }

  private RoutableTarget engine() {
    return fleet.current().engines("drafter-v1", "").get(0);
  }

  private static KeptObject object(String key, int pieces, String lastPiece) {
    return KeptObject.of(key, "", pieces, lastPiece, pieces * 1000L);
  }

  private static final class FakeStores implements StoreClient {

    private final List<KeptObject> objects = new ArrayList<>();
    private boolean isFailing;
    private int lookups;

    @Override
    public List<KeptObject> lookUp(
        String store, String address, KeptLookup lookup, Duration timeout)
        throws TargetCallException {
      lookups++;
      if (isFailing) {
        throw TargetCallException.unclear(store, "it is down");
      }
      return objects;
    }
  }

  private static final class FakeTransfers implements CacheTransferClient {

    private final List<ExportOrder> exports = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean isFailing;
    private int imports;

    @Override
    public void exportTo(RoutableTarget engine, ExportOrder order, Duration timeout)
        throws TargetCallException {
      exports.add(order);
      if (isFailing) {
        throw TargetCallException.unclear(engine.id(), "the store is full");
      }
    }

    @Override
    public void importFrom(RoutableTarget engine, ImportOrder order, Duration timeout)
        throws TargetCallException {
      imports++;
      if (isFailing) {
        throw TargetCallException.unclear(engine.id(), "the object is not sealed");
      }
    }
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.ReadinessFixtures;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.CacheSharing;
import org.geraniumwharf.relay.DataCentreRegions;
import org.geraniumwharf.relay.PromptPart;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.EngineCapacity;
import org.geraniumwharf.schema.objects.Execution;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.objects.RouteSplit;
import org.junit.jupiter.api.Test;

/** Guards against requests and KV cache that leave their regions, and against silent refusals. */
class RegionRulesTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final PromptPart CONTEXT = new PromptPart("context", 8000);
  private static final RelayTarget NORTH = target("engine-1", "dc-1");
  private static final RelayTarget SOUTH = target("engine-2", "dc-2");
  private static final CacheStore NORTH_STORE = store("north-store", "10.0.0.8:80", "dc-1");
  private static final CacheStore SOUTH_STORE = store("south-store", "10.0.0.9:80", "dc-2");
  private static final CacheStore UNKNOWN_STORE = store("other-store", "10.0.0.7:80", "dc-3");

  private final List<String> lines = new ArrayList<>();
  private final DaemonMetrics metrics = DaemonMetrics.create();
  private final RegionRules rules =
      RegionRules.of(
          () -> DataCentreRegions.of(Map.of("dc-1", "north", "dc-2", "south")),
          metrics,
          new LineLog(lines));
  private final KnownStores stores = KnownStores.create(EventLog.none());

  // ------------------------------------------------------------------ requests

  @Test
  void should_refuse_nothing_while_a_target_is_in_an_allowed_region() {
    assertEquals(Optional.empty(), rules.findRefusal(draft("north"), List.of(SOUTH, NORTH)));
    assertEquals(Optional.empty(), rules.findRefusal(draft(), List.of(SOUTH)));
    assertEquals(Optional.empty(), rules.findRefusal(draft("north"), List.of()));
    assertEquals(List.of(), lines);
  }

  @Test
  void should_log_and_count_a_request_for_which_no_target_is_in_an_allowed_region() {
    ServingException error = rules.findRefusal(draft("north"), List.of(SOUTH)).orElseThrow();

    assertEquals(ErrorKind.NO_TARGET, error.kind());
    assertTrue(lines.get(0).startsWith("event=region-not-allowed"), lines.get(0));
    assertTrue(lines.get(0).contains("request-1") && lines.get(0).contains("north"));
    assertTrue(
        metrics.prometheusText().contains("requests_refused_by_region_total 1"),
        metrics.prometheusText());
  }

  // ------------------------------------------------------------------ KV cache

  @Test
  void should_save_only_to_stores_in_allowed_regions() {
    learnStores();

    assertEquals(Optional.of(SOUTH_STORE.address()), save(draft("south")));
  }

  @Test
  void should_save_nothing_where_no_store_is_in_an_allowed_region() {
    learnStores();

    assertEquals(Optional.empty(), save(draft("west")));
    assertTrue(save(draft()).isPresent());
  }

  @Test
  void should_fetch_only_from_stores_in_allowed_regions() {
    learnStores(StoreChange.of("v1", CONTEXT.id(), CONTEXT.tokens()));

    assertEquals(Optional.of(SOUTH_STORE.address()), fetch(draft("south")));
    assertEquals(Optional.empty(), fetch(draft("west")));
    assertTrue(fetch(draft()).isPresent());
  }

  // Guards against an estimate that counts on a fetch that is not allowed.
  @Test
  void should_count_only_what_stores_in_allowed_regions_hold() {
    learnStores(StoreChange.of("v1", CONTEXT.id(), CONTEXT.tokens()));
    RelayTransfers transfers = transfers();

    assertEquals(CONTEXT.tokens(), transfers.storedTokens(draft("north"), List.of(NORTH), NOW));
    assertEquals(0, transfers.storedTokens(draft("west"), List.of(NORTH), NOW));
  }

  private void learnStores(StoreChange... changes) {
    stores.received(
        List.of(
            StoreChanges.of(NORTH_STORE.name(), 1, 1, true, List.of(changes)),
            StoreChanges.of(SOUTH_STORE.name(), 1, 1, true, List.of(changes)),
            StoreChanges.of(UNKNOWN_STORE.name(), 1, 1, true, List.of(changes))),
        NOW);
  }

  /** Returns the address of the store that the context of a request is saved to. */
  private Optional<String> save(ResolvedRequest request) {
    return first(transfers().plan(request, SOUTH, NOW).save());
  }

  /** Returns the address of the store that the context of a request is fetched from. */
  private Optional<String> fetch(ResolvedRequest request) {
    return first(transfers().plan(request, SOUTH, NOW).fetch());
  }

  private static Optional<String> first(List<Optional<String>> stores) {
    return stores.isEmpty() ? Optional.empty() : stores.get(0);
  }

  private RelayTransfers transfers() {
    FleetViewHolder holder =
        FleetFixtures.holder(List.of(NORTH_STORE, SOUTH_STORE, UNKNOWN_STORE), List.of(), NOW);
    RelayAdmission admission =
        RelayAdmission.create(holder, ReadinessFixtures.withoutView(holder), EventLog.none());
    return RelayTransfers.create(admission, stores, rules);
  }

  /** Returns a generation on a route with some allowed regions. */
  private static ResolvedRequest draft(String... regions) {
    RelayRequest request =
        new RelayRequest(
            "request-1",
            "POST",
            "quotes.example",
            "/drafts/1",
            Optional.empty(),
            Optional.empty(),
            Optional.of("m"),
            List.of(CONTEXT, new PromptPart("own", 400)),
            CONTEXT.tokens() + 400,
            100,
            Optional.empty(),
            NOW);
    EngineCapacity engine = EngineCapacity.of(12, 82_486, 131_072, 260_000, List.of("m"));
    RelayRoute route =
        RelayRoute.of(
            "drafts",
            "quotes.example",
            "/drafts/",
            List.of(RouteSplit.of("engines", 1)),
            Execution.STREAM,
            true,
            true,
            true,
            10_000,
            600,
            Optional.empty(),
            0,
            2,
            List.of(regions));
    return new ResolvedRequest(
        request,
        route,
        RelayService.of("engines", Optional.empty(), 300, Optional.of(engine), Optional.empty()),
        Optional.empty(),
        CacheSharing.amongAll(),
        NOW.plusSeconds(8));
  }

  private static RelayTarget target(String id, String dataCentre) {
    return new RelayTarget(id, 1, "10.0.0.1:80", dataCentre, 12, "m", 1);
  }

  private static CacheStore store(String name, String address, String dataCentre) {
    return CacheStore.of(name, address, dataCentre, 1_000_000, 590_000, 1, true);
  }

  /** Keeps the lines of a log. */
  private record LineLog(List<String> lines) implements EventLog {

    @Override
    public void info(Event event) {
      lines.add(event.line());
    }

    @Override
    public void warn(Event event) {
      lines.add(event.line());
    }
  }
}

package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.PromptPart;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;
import org.junit.jupiter.api.Test;

class KnownStoresTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final PromptPart PART = new PromptPart("p1", 500);

  private final KnownStores stores = KnownStores.create(EventLog.none());

  @Test
  void should_report_its_position_and_hold_the_parts() {
    stores.received(List.of(changes(7, 3, true, StoreChange.of("v1", "p1", 500))), NOW);

    assertEquals(List.of(StorePosition.of("store-1", 7, 3)), stores.positions());
    assertEquals(Optional.of("store-1"), holder());
  }

  @Test
  void should_hold_nothing_of_a_store_that_started_anew() {
    stores.received(List.of(changes(7, 3, true, StoreChange.of("v1", "p1", 500))), NOW);
    stores.received(List.of(changes(8, 0, true)), NOW);

    assertEquals(Optional.empty(), holder());
  }

  /** Else a part may be fetched that a store writes anew after a restart. */
  @Test
  void should_use_no_store_without_recent_news_of_it() {
    stores.received(List.of(changes(7, 3, true, StoreChange.of("v1", "p1", 500))), NOW);

    assertTrue(stores.isAvailable("store-1", NOW.plusMillis(1000)));
    assertFalse(stores.isAvailable("store-1", NOW.plusMillis(1500)));
    assertFalse(stores.isAvailable("store-2", NOW));
  }

  @Test
  void should_not_use_a_store_that_the_leader_no_longer_reads() {
    stores.received(List.of(changes(7, 3, true, StoreChange.of("v1", "p1", 500))), NOW);
    stores.received(List.of(), NOW);

    assertFalse(stores.isAvailable("store-1", NOW));
  }

  private Optional<String> holder() {
    return stores.storedParts().findHolder(List.of("store-1"), "v1", PART);
  }

  private static StoreChanges changes(
      long incarnation, long position, boolean isWhole, StoreChange... changes) {
    return StoreChanges.of("store-1", incarnation, position, isWhole, List.of(changes));
  }
}

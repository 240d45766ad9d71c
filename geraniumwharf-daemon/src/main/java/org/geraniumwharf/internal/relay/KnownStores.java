package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.internal.fleet.StoreExchange;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoreChangeLog;
import org.geraniumwharf.relay.StoredParts;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;

/**
 * The contents of the cache stores as this instance learns them with the answers to its heartbeats.
 * Safe for use by several threads; the only other lock taken while its lock is held is that of the
 * stored parts.
 */
public final class KnownStores implements StoreExchange {

  /**
   * Age up to which a store may be used without news of it. A store that restarted meanwhile may be
   * writing a part that this instance believes to be complete there.
   */
  private static final Duration VALIDITY = Duration.ofMillis(1500);

  private final StoredParts storedParts = StoredParts.create();
  private final EventLog log;
  private final Map<String, StorePosition> positions = new HashMap<>();
  private Set<String> available = Set.of();
  private Instant receivedAt = Instant.MIN;

  private KnownStores(EventLog log) {
    this.log = log;
  }

  public static KnownStores create(EventLog log) {
    return new KnownStores(log);
  }

  StoredParts storedParts() {
    return storedParts;
  }

  @Override
  public synchronized List<StorePosition> positions() {
    return new ArrayList<>(positions.values());
  }

  @Override
  public synchronized void received(List<StoreChanges> changes, Instant now) {
    changes.forEach(this::apply);
    Set<String> names =
        changes.stream().map(StoreChanges::store).collect(Collectors.toUnmodifiableSet());
    if (!names.equals(available)) {
      log.info(Event.of("stores-available").with("before", available).with("now", names));
    }
    available = names;
    receivedAt = now;
  }

  private void apply(StoreChanges changes) {
    String store = changes.store();
    if (changes.whole()) {
      storedParts.removeStore(store);
      log.info(
          Event.of("store-followed")
              .with("store", store)
              .with("incarnation", changes.incarnation())
              .with("parts", changes.changes().size()));
    }
    for (StoreChange change : changes.changes()) {
      if (change.tokens() == StoreChangeLog.REMOVED) {
        storedParts.remove(store, change.scope(), change.part());
      } else {
        storedParts.add(store, change.scope(), change.part(), change.tokens());
      }
    }
    positions.put(store, StorePosition.of(store, changes.incarnation(), changes.position()));
  }

  /** Returns whether a store may be used, by the newest news of it. */
  synchronized boolean isAvailable(String store, Instant now) {
    return available.contains(store) && now.isBefore(receivedAt.plus(VALIDITY));
  }
}

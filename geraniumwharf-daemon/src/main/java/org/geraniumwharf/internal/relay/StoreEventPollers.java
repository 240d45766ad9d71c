package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.internal.fleet.NumericAddress;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoredParts;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.PublishedObject;

/** Pollers of the managed cache stores of the newest configuration. */
final class StoreEventPollers {

  private final StoredParts storedParts;
  private final CacheProtocol protocol;
  private final BufferingHttpClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final Map<CacheStore, StoreEventPoller> pollers = new ConcurrentHashMap<>();

  StoreEventPollers(
      StoredParts storedParts,
      CacheProtocol protocol,
      BufferingHttpClient client,
      EventLoop loop,
      EventLog log) {
    this.storedParts = storedParts;
    this.protocol = protocol;
    this.client = client;
    this.loop = loop;
    this.log = log;
  }

  /** Starts pollers of new stores and stops those of removed ones. */
  void updateStores(Configuration configuration) {
    List<CacheStore> stores = new ArrayList<>();
    for (PublishedObject object : configuration.objects()) {
      if (object instanceof CacheStore store && store.managed()) {
        if (NumericAddress.parse(store.address()).isPresent()) {
          stores.add(store);
        } else {
          log.warn(
              Event.of("store-unusable")
                  .with("store", store.name())
                  .with("address", store.address()));
        }
      }
    }
    pollers
        .entrySet()
        .removeIf(
            entry -> {
              boolean isRemoved = !stores.contains(entry.getKey());
              if (isRemoved) {
                entry.getValue().stop();
              }
              return isRemoved;
            });
    stores.forEach(store -> pollers.computeIfAbsent(store, this::startPoller));
  }

  private StoreEventPoller startPoller(CacheStore store) {
    StoreEventPoller poller = new StoreEventPoller(store, storedParts, protocol, client, loop, log);
    poller.start();
    return poller;
  }

  /** Returns the stores whose last poll succeeded. */
  List<CacheStore> availableStores() {
    return pollers.values().stream()
        .filter(StoreEventPoller::isAvailable)
        .map(StoreEventPoller::store)
        .toList();
  }
}

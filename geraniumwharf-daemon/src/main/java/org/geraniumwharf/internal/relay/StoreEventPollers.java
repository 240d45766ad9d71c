package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoredParts;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.PublishedObject;

/** Follows the stores of the newest configuration. */
final class StoreEventPollers {

  private final StoredParts storedParts;
  private final CacheProtocol protocol;
  private final BufferingHttpClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final Map<CacheStore, StoreEventPoller> pollers = new ConcurrentHashMap<>();

  StoreEventPollers(
      StoredParts stored,
      CacheProtocol protocol,
      BufferingHttpClient calls,
      EventLoop loop,
      EventLog log) {
    this.storedParts = stored;
    this.protocol = protocol;
    this.client = calls;
    this.loop = loop;
    this.log = log;
  }

  /** Starts and stops followers after a change of configuration. */
  void updateStores(Configuration configuration) {
    List<CacheStore> stores = new ArrayList<>();
    for (PublishedObject object : configuration.objects()) {
      if (object instanceof CacheStore store && store.managed()) {
        stores.add(store);
      }
    }
    pollers
        .entrySet()
        .removeIf(
            entry -> {
              boolean isGone = !stores.contains(entry.getKey());
              if (isGone) {
                entry.getValue().stop();
              }
              return isGone;
            });
    stores.forEach(store -> pollers.computeIfAbsent(store, this::startPoller));
  }

  private StoreEventPoller startPoller(CacheStore store) {
    StoreEventPoller follower =
        new StoreEventPoller(store, storedParts, protocol, client, loop, log);
    follower.start();
    return follower;
  }

  /** Returns the stores that answer. */
  List<CacheStore> availableStores() {
    return pollers.values().stream()
        .filter(StoreEventPoller::isAvailable)
        .map(StoreEventPoller::store)
        .toList();
  }
}

package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoreChangeLog;
import org.geraniumwharf.schema.objects.CacheStore;

/** Pollers of the managed cache stores of the newest configuration. */
public final class StoreEventPollers {

  private final StoreChangeLog changes;
  private final CacheProtocol protocol;
  private final BufferingHttpClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final Map<CacheStore, StoreEventPoller> pollers = new ConcurrentHashMap<>();

  private StoreEventPollers(
      StoreChangeLog changes,
      CacheProtocol protocol,
      BufferingHttpClient client,
      EventLoop loop,
      EventLog log) {
    this.changes = changes;
    this.protocol = protocol;
    this.client = client;
    this.loop = loop;
    this.log = log;
  }

  /** Starts to poll the stores of the current and each later configuration. */
  public static void start(
      FleetViewHolder holder,
      CacheProtocol protocol,
      BufferingHttpClient client,
      EventLoop loop,
      StoreChangeLog changes,
      EventLog log) {
    StoreEventPollers pollers = new StoreEventPollers(changes, protocol, client, loop, log);
    pollers.updateStores(holder.current().configuration());
    holder.onChange(
        (before, after) -> {
          if (before.configuration() != after.configuration()) {
            pollers.updateStores(after.configuration());
          }
        });
  }

  /** Starts pollers of new stores and stops those of removed ones. */
  private void updateStores(Configuration configuration) {
    ManagedStores configured = ManagedStores.of(configuration);
    configured.unusable().forEach(this::logUnusable);
    List<CacheStore> stores = configured.usable();
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

  private void logUnusable(CacheStore store) {
    log.warn(
        Event.of("store-unusable").with("store", store.name()).with("address", store.address()));
  }

  private StoreEventPoller startPoller(CacheStore store) {
    StoreEventPoller poller = new StoreEventPoller(store, changes, protocol, client, loop, log);
    poller.start();
    return poller;
  }
}

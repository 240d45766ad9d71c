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
final class StoreFollowers {

  private final StoredParts stored;
  private final CacheProtocol protocol;
  private final TargetCalls calls;
  private final EventLoop loop;
  private final EventLog log;
  private final Map<CacheStore, StoreFollower> followers = new ConcurrentHashMap<>();

  StoreFollowers(
      StoredParts stored, CacheProtocol protocol, TargetCalls calls, EventLoop loop, EventLog log) {
    this.stored = stored;
    this.protocol = protocol;
    this.calls = calls;
    this.loop = loop;
    this.log = log;
  }

  /** Starts and stops followers after a change of configuration. */
  void follow(Configuration configuration) {
    List<CacheStore> stores = new ArrayList<>();
    for (PublishedObject object : configuration.objects()) {
      if (object instanceof CacheStore store && store.managed()) {
        stores.add(store);
      }
    }
    followers
        .entrySet()
        .removeIf(
            entry -> {
              boolean isGone = !stores.contains(entry.getKey());
              if (isGone) {
                entry.getValue().stop();
              }
              return isGone;
            });
    stores.forEach(store -> followers.computeIfAbsent(store, this::startFollower));
  }

  private StoreFollower startFollower(CacheStore store) {
    StoreFollower follower = new StoreFollower(store, stored, protocol, calls, loop, log);
    follower.start();
    return follower;
  }

  /** Returns the stores that answer. */
  List<CacheStore> answering() {
    return followers.values().stream()
        .filter(StoreFollower::isAnswering)
        .map(StoreFollower::store)
        .toList();
  }
}

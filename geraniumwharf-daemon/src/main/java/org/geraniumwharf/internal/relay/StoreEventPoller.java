package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoredParts;
import org.geraniumwharf.schema.objects.CacheStore;

/** Keeps up with the parts that one store holds. Confined to its event loop. */
final class StoreEventPoller {

  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1800);

  /** Pause between calls, so that changes come in batches. */
  private static final long POLL_INTERVAL_MILLIS = 250;

  private static final long RETRY_INTERVAL_MILLIS = 300;
  private static final int HTTP_OK = 200;

  private final CacheStore store;
  private final InetSocketAddress address;
  private final StoredParts storedParts;
  private final CacheProtocol protocol;
  private final BufferingHttpClient client;
  private final EventLoop loop;
  private final EventLog log;
  private Optional<Long> incarnation = Optional.empty();
  private long position;
  private boolean isStopped;
  private volatile boolean isAvailable;

  StoreEventPoller(
      CacheStore store,
      StoredParts stored,
      CacheProtocol protocol,
      BufferingHttpClient calls,
      EventLoop loop,
      EventLog log) {
    this.store = store;
    this.address = ControlDirectory.parseAddress(store.address());
    this.storedParts = stored;
    this.protocol = protocol;
    this.client = calls;
    this.loop = loop;
    this.log = log;
  }

  void start() {
    loop.execute(this::poll);
  }

  void stop() {
    loop.execute(() -> isStopped = true);
  }

  CacheStore store() {
    return store;
  }

  /** Tells whether the store answered the last call. */
  boolean isAvailable() {
    return isAvailable;
  }

  private void poll() {
    if (isStopped) {
      storedParts.forget(store.name());
      return;
    }
    var unused =
        client
            .send(address, protocol.changesRequest(store.address(), position), POLL_TIMEOUT)
            .handle(
                (reply, error) -> {
                  boolean isRead =
                      error == null && reply.status() == HTTP_OK && applyResponse(reply);
                  if (!isRead) {
                    pollFailed(error == null ? "status " + reply.status() : error.getMessage());
                  }
                  schedulePoll(isRead ? POLL_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS);
                  return null;
                });
  }

  private void schedulePoll(long millis) {
    var unused = loop.schedule(this::poll, millis, TimeUnit.MILLISECONDS);
  }

  private boolean applyResponse(BufferingHttpClient.Response reply) {
    Optional<CacheProtocol.Changes> read = protocol.readChanges(reply.body());
    read.ifPresent(this::apply);
    return read.isPresent();
  }

  private void apply(CacheProtocol.Changes changes) {
    boolean isOther = !incarnation.equals(Optional.of(changes.incarnation()));
    if (isOther) {
      storedParts.forget(store.name());
      log.info(
          Event.of("store-followed")
              .with("store", store.name())
              .with("incarnation", changes.incarnation()));
    }
    boolean isFromBefore = isOther && incarnation.isPresent() && position > 0;
    incarnation = Optional.of(changes.incarnation());
    position = isFromBefore ? 0 : changes.nextPosition();
    if (!isFromBefore) {
      changes.changes().forEach(this::apply);
    }
    isAvailable = true;
  }

  private void apply(CacheProtocol.Change change) {
    if (change.isAdded()) {
      storedParts.added(store.name(), change.scope(), change.partId(), change.tokens());
    } else {
      storedParts.removed(store.name(), change.scope(), change.partId());
    }
  }

  private void pollFailed(String cause) {
    if (isAvailable) {
      log.warn(Event.of("store-lost").with("store", store.name()).with("cause", cause));
    }
    isAvailable = false;
  }
}

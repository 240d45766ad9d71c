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
final class StoreFollower {

  private static final Duration TIMEOUT = Duration.ofMillis(1800);

  /** Pause between calls, so that changes come in batches. */
  private static final long PAUSE_MILLIS = 250;

  private static final long RETRY_MILLIS = 300;
  private static final int OK = 200;

  private final CacheStore store;
  private final InetSocketAddress address;
  private final StoredParts stored;
  private final CacheProtocol protocol;
  private final TargetCalls calls;
  private final EventLoop loop;
  private final EventLog log;
  private Optional<Long> incarnation = Optional.empty();
  private long position;
  private boolean isStopped;
  private volatile boolean isAnswering;

  StoreFollower(
      CacheStore store,
      StoredParts stored,
      CacheProtocol protocol,
      TargetCalls calls,
      EventLoop loop,
      EventLog log) {
    this.store = store;
    this.address = ControlDirectory.parseAddress(store.address());
    this.stored = stored;
    this.protocol = protocol;
    this.calls = calls;
    this.loop = loop;
    this.log = log;
  }

  void start() {
    loop.execute(this::ask);
  }

  void stop() {
    loop.execute(() -> isStopped = true);
  }

  CacheStore store() {
    return store;
  }

  /** Tells whether the store answered the last call. */
  boolean isAnswering() {
    return isAnswering;
  }

  private void ask() {
    if (isStopped) {
      stored.forget(store.name());
      return;
    }
    var unused =
        calls
            .call(address, protocol.changesAfter(store.address(), position), TIMEOUT)
            .handle(
                (reply, error) -> {
                  boolean isRead = error == null && reply.status() == OK && read(reply);
                  if (!isRead) {
                    lost(error == null ? "status " + reply.status() : error.getMessage());
                  }
                  schedule(isRead ? PAUSE_MILLIS : RETRY_MILLIS);
                  return null;
                });
  }

  private void schedule(long millis) {
    var unused = loop.schedule(this::ask, millis, TimeUnit.MILLISECONDS);
  }

  private boolean read(TargetCalls.Reply reply) {
    Optional<CacheProtocol.Changes> read = protocol.readChanges(reply.body());
    read.ifPresent(this::apply);
    return read.isPresent();
  }

  private void apply(CacheProtocol.Changes changes) {
    boolean isOther = !incarnation.equals(Optional.of(changes.incarnation()));
    if (isOther) {
      stored.forget(store.name());
      log.info(
          Event.of("store-followed")
              .with("store", store.name())
              .with("incarnation", changes.incarnation()));
    }
    boolean isFromBefore = isOther && incarnation.isPresent() && position > 0;
    incarnation = Optional.of(changes.incarnation());
    position = isFromBefore ? 0 : changes.next();
    if (!isFromBefore) {
      changes.changes().forEach(this::apply);
    }
    isAnswering = true;
  }

  private void apply(CacheProtocol.Change change) {
    if (change.isAdded()) {
      stored.added(store.name(), change.scope(), change.part(), change.tokens());
    } else {
      stored.removed(store.name(), change.scope(), change.part());
    }
  }

  private void lost(String cause) {
    if (isAnswering) {
      log.warn(Event.of("store-lost").with("store", store.name()).with("cause", cause));
    }
    isAnswering = false;
  }
}

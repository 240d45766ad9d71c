package org.geraniumwharf.internal.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.StoreChangeLog;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.objects.CacheStore;

/**
 * Polls one cache store for changes of the parts that it holds. Its state is confined to its event
 * loop; the methods that are not private may be called by any thread.
 */
final class StoreEventPoller {

  private static final Duration POLL_TIMEOUT = Duration.ofMillis(1800);

  /** Interval between a response and the next poll, so that changes arrive in batches. */
  private static final long POLL_INTERVAL_MILLIS = 100;

  private static final long RETRY_INTERVAL_MILLIS = 300;
  private static final int HTTP_OK = 200;

  private final CacheStore store;
  private final InetSocketAddress address;
  private final StoreChangeLog changeLog;
  private final CacheProtocol protocol;
  private final BufferingHttpClient client;
  private final EventLoop loop;
  private final EventLog log;
  private Optional<Long> incarnation = Optional.empty();
  private long position;
  private boolean isStopped;
  private boolean isAvailable;

  StoreEventPoller(
      CacheStore store,
      StoreChangeLog changeLog,
      CacheProtocol protocol,
      BufferingHttpClient client,
      EventLoop loop,
      EventLog log) {
    this.store = store;
    this.address = ControlDirectory.parseAddress(store.address());
    this.changeLog = changeLog;
    this.protocol = protocol;
    this.client = client;
    this.loop = loop;
    this.log = log;
  }

  void start() {
    loop.execute(this::poll);
  }

  void stop() {
    loop.execute(() -> isStopped = true);
  }

  private void poll() {
    if (isStopped) {
      changeLog.removeStore(store.name());
      return;
    }
    var unused =
        client
            .sendReusing(
                address,
                protocol.changesRequest(store.address(), position),
                POLL_TIMEOUT,
                this::readAnswer)
            .handle(
                (changes, error) -> {
                  if (error == null) {
                    apply(changes);
                  } else {
                    pollFailed(error.getMessage());
                  }
                  schedulePoll(error == null ? POLL_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS);
                  return null;
                });
  }

  private void schedulePoll(long millis) {
    var unused = loop.schedule(this::poll, millis, TimeUnit.MILLISECONDS);
  }

  private CacheProtocol.Changes readAnswer(BufferingHttpClient.Response response)
      throws IOException {
    if (response.status() != HTTP_OK) {
      throw new IOException("status " + response.status());
    }
    CacheProtocol.Changes changes =
        protocol
            .readChanges(response.body())
            .orElseThrow(() -> new IOException("the changes cannot be read"));
    if (incarnation.filter(known -> isRepeated(changes, known, position)).isPresent()) {
      throw new IOException("the response is that to an earlier poll");
    }
    return changes;
  }

  /** Returns whether a batch ends at or before the position that was asked for, and has changes. */
  private static boolean isRepeated(
      CacheProtocol.Changes changes, long incarnation, long position) {
    boolean isBehind =
        changes.nextPosition() < position
            || (changes.nextPosition() == position && !changes.changes().isEmpty());
    return changes.incarnation() == incarnation && isBehind;
  }

  private void apply(CacheProtocol.Changes changes) {
    boolean isNewIncarnation = !incarnation.equals(Optional.of(changes.incarnation()));
    if (isNewIncarnation) {
      log.info(
          Event.of("store-followed")
              .with("store", store.name())
              .with("incarnation", changes.incarnation()));
    }
    boolean isOldPosition = isNewIncarnation && incarnation.isPresent() && position > 0;
    incarnation = Optional.of(changes.incarnation());
    position = isOldPosition ? 0 : changes.nextPosition();
    List<StoreChange> messages =
        isOldPosition
            ? List.of()
            : changes.changes().stream().map(StoreEventPoller::toMessage).toList();
    changeLog.record(store.name(), changes.incarnation(), position, messages);
    isAvailable = true;
  }

  private static StoreChange toMessage(CacheProtocol.Change change) {
    int tokens = change.isAdded() ? change.tokens() : StoreChangeLog.REMOVED;
    return StoreChange.of(change.scope(), change.partId(), tokens);
  }

  private void pollFailed(String cause) {
    if (isAvailable) {
      log.warn(Event.of("store-lost").with("store", store.name()).with("cause", cause));
    }
    isAvailable = false;
    changeLog.recordUnavailable(store.name());
  }
}

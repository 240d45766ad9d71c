package org.geraniumwharf.internal.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.control.StoreReader;
import org.geraniumwharf.control.ViewSink;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.PeerService;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.ViewChange;
import org.geraniumwharf.time.MonotonicClock;

/**
 * A control instance whose group is told by the test. It listens on loopback behind a {@link
 * SilentProxy}, and tells its watchers every 250 ms how old its view is.
 */
final class StandInControl implements ControlInstance, AutoCloseable {

  private static final Duration FRESHNESS_INTERVAL = Duration.ofMillis(250);
  private static final long FIRST_INDEX = 10;

  /** Age of the view of an instance that hears its leader. */
  private static final Duration CALM_AGE = Duration.ofMillis(100);

  private final MonotonicClock clock;
  private final PeerNetwork network;
  private final SilentProxy proxy;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<ViewSink> watchers = new CopyOnWriteArrayList<>();
  private volatile long version = 1;
  private volatile Instant cutAt = Instant.MAX;

  private StandInControl(MonotonicClock clock, PeerNetwork network, SilentProxy proxy) {
    this.clock = clock;
    this.network = network;
    this.proxy = proxy;
  }

  static StandInControl start(ClusterKey key, MonotonicClock clock) throws IOException {
    PeerNetwork network =
        PeerNetwork.create(
            "control", key, Sockets.of(Optional.empty()), () -> true, EventLog.none());
    InetSocketAddress address = freeAddress();
    PeerService service = PeerService.start(network, address, EventLog.none());
    StandInControl control = new StandInControl(clock, network, SilentProxy.start(address));
    service.control(control);
    var unused =
        control.timer.scheduleAtFixedRate(
            control::tellFreshness, 0, FRESHNESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    return control;
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  /** Returns the address by which entries reach it, which is also its name. */
  String name() {
    return proxy.address();
  }

  boolean isWatched() {
    return !watchers.isEmpty();
  }

  /** Cuts it off from the other control instances; entries still reach it. */
  void cutOff() {
    cutAt = clock.instant();
  }

  /** Carries nothing from now on; connections are still accepted, as of a frozen process. */
  void silence() {
    proxy.silence();
  }

  /** Applies a version that the group confirmed. */
  void apply(long newVersion) {
    version = newVersion;
    ViewChange change =
        ViewChange.of(
            index() - 1,
            index(),
            version,
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of());
    watchers.removeIf(sink -> !sink.offer(WatchDelta.of(change, ageMillis(), Optional.empty())));
  }

  private long index() {
    return FIRST_INDEX + version;
  }

  private long ageMillis() {
    Instant now = clock.instant();
    return CALM_AGE.toMillis()
        + (cutAt.isBefore(now) ? Duration.between(cutAt, now).toMillis() : 0);
  }

  private void tellFreshness() {
    watchers.removeIf(
        sink -> !sink.offer(WatchFreshness.of(index(), ageMillis(), Optional.empty(), List.of())));
  }

  @Override
  public void watch(long afterIndex, ViewSink sink) {
    FleetView view =
        FleetView.of(index(), version, List.of(), List.of(), List.of(), List.of(), List.of());
    if (sink.offer(WatchSnapshot.of(view, ageMillis(), Optional.empty(), List.of()))) {
      watchers.add(sink);
    }
  }

  @Override
  public CompletableFuture<ControlAnswer> call(PeerMessage call) {
    return CompletableFuture.completedFuture(ReadIndexAnswer.of(FIRST_INDEX));
  }

  @Override
  public void receive(RaftMessage message) {}

  @Override
  public boolean isJoined() {
    return true;
  }

  @Override
  public void readStores(StoreReader reader) {}

  @Override
  public Optional<Leadership> leadership(Instant now) {
    return Optional.empty();
  }

  @Override
  public CompletableFuture<Throwable> failure() {
    return new CompletableFuture<>();
  }

  @Override
  public boolean isInitialised() {
    return true;
  }

  @Override
  public CompletableFuture<Void> shutdown() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    proxy.close();
    network.close();
  }
}

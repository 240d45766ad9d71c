package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.OrderProgress;
import org.geraniumwharf.schema.targets.OrderState;
import org.geraniumwharf.schema.targets.TargetKind;

/** An engine that carries out every order it receives, whatever its fencing number. */
final class SimulatedEngine {

  private static final int MAX_LOAD_MILLIS = 4000;
  private static final int FAILURE_ODDS = 12;

  private final String id;
  private final int maxLoaded;
  private final TreeSet<String> loaded = new TreeSet<>();
  private Optional<OrderRecord> currentOrder = Optional.empty();
  private Optional<OrderProgress> progress = Optional.empty();
  private Instant currentOrderEnds = Instant.MIN;
  private Instant unresponsiveSince = Instant.MAX;
  private Instant unresponsiveUntil = Instant.MIN;
  private boolean isHealthy;
  private boolean isCrashing;
  private long incarnation = 1;
  private long sequence;

  SimulatedEngine(String id, String version, int maxLoaded) {
    this.id = id;
    this.maxLoaded = maxLoaded;
    loaded.add(version);
  }

  String id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  Set<String> loadedVersions() {
    return Set.copyOf(loaded);
  }

  /** Restarts at the next step, at once or after a time without announcements. */
  void restart(boolean isUnresponsiveFirst) {
    isCrashing = true;
    unresponsiveUntil = isUnresponsiveFirst ? Instant.MAX : Instant.MIN;
  }

  void heal() {
    isHealthy = true;
    isCrashing = false;
    unresponsiveUntil = Instant.MIN;
  }

  boolean isUnresponsive(Instant now) {
    return now.isBefore(unresponsiveUntil);
  }

  boolean isUnresponsiveFor(Instant now, Duration time) {
    return isUnresponsive(now) && !now.isBefore(unresponsiveSince.plus(time));
  }

  void advance(SplittableRandom random, Instant now) {
    if (isCrashing) {
      crash(random, now);
    }
    if (currentOrder.isPresent() && !now.isBefore(currentOrderEnds)) {
      finish(random, currentOrder.get());
    }
  }

  private void crash(SplittableRandom random, Instant now) {
    isCrashing = false;
    incarnation++;
    sequence = 0;
    currentOrder = Optional.empty();
    progress = Optional.empty();
    loaded.clear();
    unresponsiveSince = now;
    unresponsiveUntil =
        unresponsiveUntil.equals(Instant.MAX) ? now.plusMillis(random.nextInt(9000)) : Instant.MIN;
  }

  private void finish(SplittableRandom random, OrderRecord order) {
    boolean isFailing = order.load() && !isHealthy && random.nextInt(FAILURE_ODDS) == 0;
    if (!order.load()) {
      loaded.remove(order.modelVersion());
    } else if (!isFailing) {
      loaded.add(order.modelVersion());
    }
    recordProgress(order, isFailing ? OrderState.FAILED : OrderState.DONE);
    currentOrder = Optional.empty();
  }

  /**
   * Starts an order. Fails if it is older than the last one, which a target that ignores fencing
   * numbers must never receive.
   */
  void receiveOrder(OrderRecord order, SplittableRandom random, Instant now) {
    long newest = progress.map(OrderProgress::sequence).orElse(0L);
    if (order.sequence() == newest) {
      return;
    }
    assertTrue(order.sequence() > newest, () -> id + " was handed " + order + " after " + newest);
    loaded.removeAll(order.replaces());
    recordProgress(order, OrderState.WORKING);
    currentOrder = Optional.of(order);
    currentOrderEnds = now.plusMillis(random.nextInt(MAX_LOAD_MILLIS));
  }

  private void recordProgress(OrderRecord order, OrderState state) {
    progress = Optional.of(OrderProgress.of(order.term(), order.sequence(), state));
  }

  Announcement announcement() {
    sequence++;
    return Announcement.of(
        id,
        incarnation,
        sequence,
        "http://127.0.0.1:9",
        "dc-1",
        TargetKind.ENGINE,
        Optional.empty(),
        Optional.empty(),
        loaded.stream().map(name -> LoadedWeights.of(name, List.of())).toList(),
        Optional.of(Capabilities.of(false, true, true, true, true)),
        Optional.of(EngineProfile.of(8, 20_000, 100, maxLoaded)),
        false,
        progress,
        0,
        0);
  }
}

package org.geraniumwharf.internal.node;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.geraniumwharf.announcement.AnnouncedAddress;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.NumericAddress;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.weights.WavePlanner;
import org.geraniumwharf.weights.WeightsVersion;

/**
 * Brings the engines to the weights that operators name, while the local control instance leads.
 * The term is the fencing number of every order. A new leader first waits until the orders of the
 * one before are over.
 */
final class WeightsRollout implements Runnable {

  private static final Duration ROUND = Duration.ofMillis(100);
  private static final Duration STEP = Duration.ofMillis(250);
  private static final Duration LONGEST_SWAP = Duration.ofSeconds(20);

  /** Age of the confirmation by a quorum beyond which a leader gives no order. */
  private static final Duration MAX_CONFIRMED_AGE = Duration.ofMillis(700);

  private static final Duration REST_OF_NEW_LEADER = Duration.ofSeconds(3);

  private final String self;
  private final ControlInstance instance;
  private final FleetViewHolder holder;
  private final EngineOrders orders;
  private final Announcer announcer;
  private final Executor workers;
  private final EventLog log;
  private final InstantSource clock;
  private final Set<String> swapping = ConcurrentHashMap.newKeySet();
  private final Map<String, WavePlanner> planners = new HashMap<>();
  private long restingTerm;

  /** Tells the fleet what a target holds. */
  interface Announcer {

    /**
     * Tells the fleet.
     *
     * @throws ServingException if no control instance takes it
     */
    void announce(Announcement announcement) throws ServingException;
  }

  WeightsRollout(
      String self,
      ControlInstance instance,
      FleetViewHolder holder,
      EngineOrders orders,
      Announcer announcer,
      Executor workers,
      EventLog log,
      InstantSource clock) {
    this.self = self;
    this.instance = instance;
    this.holder = holder;
    this.orders = orders;
    this.announcer = announcer;
    this.workers = workers;
    this.log = log;
    this.clock = clock;
  }

  @Override
  public void run() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(ROUND.toMillis());
        runRound(clock.instant());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A round that fails leaves the next one to try again. */
  void runRound(Instant now) {
    try {
      logRest(now);
      recordNamed(now);
      leadership(now).ifPresent(leading -> startSwaps(leading, now));
    } catch (RuntimeException e) {
      log.warn(Event.of("weights-round-failed").with("cause", e));
    }
  }

  private Optional<Leadership> leadership(Instant now) {
    return instance
        .leadership(now)
        .filter(leading -> leading.confirmedAge().compareTo(MAX_CONFIRMED_AGE) < 0)
        .filter(leading -> !now.isBefore(ordersFrom(leading)));
  }

  /** Logs once in each term that its leader gives no orders yet. */
  private void logRest(Instant now) {
    Optional<Leadership> resting =
        instance.leadership(now).filter(leading -> now.isBefore(ordersFrom(leading)));
    if (resting.isPresent() && resting.get().term() != restingTerm) {
      restingTerm = resting.get().term();
      log.info(
          Event.of("weights-rest")
              .with("term", restingTerm)
              .with("millis", Duration.between(now, ordersFrom(resting.get())).toMillis()));
    }
  }

  /** Returns the time from which a leader may give orders. */
  private static Instant ordersFrom(Leadership leading) {
    return leading.isFirst() ? leading.since() : leading.since().plus(REST_OF_NEW_LEADER);
  }

  private void recordNamed(Instant now) {
    for (NamedWeights named : holder.current().namedWeights()) {
      planner(named.model()).recordNamed(named.version(), now);
    }
  }

  private WavePlanner planner(String model) {
    return planners.computeIfAbsent(model, name -> WavePlanner.create());
  }

  private void startSwaps(Leadership leading, Instant now) {
    FleetSnapshot view = holder.current();
    for (NamedWeights named : view.namedWeights()) {
      List<WavePlanner.EngineProgress> engines = new ArrayList<>();
      for (TargetRecord record : view.targets()) {
        if (isServing(record)) {
          version(record.announcement(), named.model())
              .ifPresent(version -> engines.add(progress(record, named.model(), version)));
        }
      }
      WavePlanner planner = planner(named.model());
      List<String> next = planner.nextEngines(engines, named.version(), now);
      if (!next.isEmpty()) {
        logWave(named, leading, now, engines, next.size());
      }
      for (String id : next) {
        Announcement engine = view.target(id).orElseThrow().announcement();
        if (startSwap(engine, named, leading)) {
          planner.recordStart(now);
        }
      }
    }
  }

  private void logWave(
      NamedWeights named,
      Leadership leading,
      Instant now,
      List<WavePlanner.EngineProgress> engines,
      int started) {
    log.info(
        Event.of("weights-wave")
            .with("model", named.model())
            .with("version", named.version())
            .with("term", leading.term())
            .with("sinceNamedMillis", now.toEpochMilli() - named.atMillis())
            .with("sinceOrderingMillis", Duration.between(ordersFrom(leading), now).toMillis())
            .with("engines", engines.size())
            .with("current", count(engines, engine -> engine.version() >= named.version()))
            .with("swapping", count(engines, WavePlanner.EngineProgress::isSwapping))
            .with("started", started));
  }

  private static long count(
      List<WavePlanner.EngineProgress> engines, Predicate<WavePlanner.EngineProgress> condition) {
    return engines.stream().filter(condition).count();
  }

  /** Returns the number of serving engines that announce an older version than the named one. */
  static long enginesBehind(FleetSnapshot view) {
    long behind = 0;
    for (NamedWeights named : view.namedWeights()) {
      behind +=
          view.targets().stream()
              .filter(WeightsRollout::isServing)
              .map(record -> version(record.announcement(), named.model()))
              .flatMap(Optional::stream)
              .filter(version -> version < named.version())
              .count();
    }
    return behind;
  }

  private static boolean isServing(TargetRecord record) {
    Announcement announcement = record.announcement();
    return !record.lapsed()
        && !announcement.leaving()
        && NumericAddress.parse(AnnouncedAddress.hostAndPort(announcement)).isPresent();
  }

  private WavePlanner.EngineProgress progress(TargetRecord record, String model, long version) {
    String id = record.announcement().id();
    return new WavePlanner.EngineProgress(id, version, swapping.contains(key(id, model)));
  }

  private static String key(String id, String model) {
    return id + '/' + model;
  }

  /** Returns the version of a model that an engine announces. */
  static Optional<Long> version(Announcement announcement, String model) {
    return announcement.loaded().stream()
        .map(LoadedWeights::modelVersion)
        .filter(name -> name.startsWith(model + '@'))
        .map(name -> WeightsVersion.parse(name.substring(model.length() + 1)))
        .flatMap(Optional::stream)
        .findFirst();
  }

  /** Starts a swap; returns false if every worker is busy. */
  private boolean startSwap(Announcement engine, NamedWeights named, Leadership leading) {
    String key = key(engine.id(), named.model());
    swapping.add(key);
    log.info(
        Event.of("weights-swap")
            .with("target", engine.id())
            .with("model", named.model())
            .with("version", named.version())
            .with("term", leading.term()));
    try {
      workers.execute(() -> swapAndRelease(engine, named.model(), leading, key));
      return true;
    } catch (RejectedExecutionException e) {
      swapping.remove(key);
      log.info(
          Event.of("weights-swap-delayed")
              .with("target", engine.id())
              .with("cause", "every worker is busy"));
      return false;
    }
  }

  private void swapAndRelease(Announcement engine, String model, Leadership leading, String key) {
    try {
      swap(engine, model, leading);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      swapping.remove(key);
    }
  }

  /**
   * Orders, reads back and orders again until the engine holds newer weights than at first. Each
   * order is for the newest weights, so that a name in between costs no second swap.
   */
  private void swap(Announcement engine, String model, Leadership leading)
      throws InterruptedException {
    long replaced = version(engine, model).orElse(0L);
    Instant begun = clock.instant();
    Instant end = begun.plus(LONGEST_SWAP);
    while (clock.instant().isBefore(end) && isWanted(engine, leading)) {
      try {
        OrderProtocol.EngineReport report = orders.report(engine);
        long held = report.versions().getOrDefault(model, 0L);
        if (held > replaced) {
          logSwapped(engine, model, held, Duration.between(begun, clock.instant()));
          announce(engine, model, held);
          return;
        }
        if (!report.isBusy()) {
          order(engine, model, leading, report.orders());
        }
      } catch (IOException e) {
        log.info(
            Event.of("weights-swap-delayed")
                .with("target", engine.id())
                .with("cause", e.getMessage()));
      }
      TimeUnit.MILLISECONDS.sleep(STEP.toMillis());
    }
  }

  private void logSwapped(Announcement engine, String model, long version, Duration duration) {
    log.info(
        Event.of("weights-swapped")
            .with("target", engine.id())
            .with("model", model)
            .with("version", version)
            .with("millis", duration.toMillis()));
  }

  private boolean isWanted(Announcement engine, Leadership leading) {
    Optional<TargetRecord> record = holder.current().target(engine.id());
    boolean isSameStart =
        record.isPresent()
            && isServing(record.get())
            && record.get().announcement().incarnation() == engine.incarnation();
    boolean isLeading =
        leadership(clock.instant()).filter(now -> now.term() == leading.term()).isPresent();
    return isSameStart && isLeading;
  }

  private void order(Announcement engine, String model, Leadership leading, long expectedOrders)
      throws IOException, InterruptedException {
    long version = holder.current().namedWeights(model).orElseThrow().version();
    int status =
        orders.order(
            engine,
            new OrderProtocol.WeightsOrder(
                engine.id(), model, version, self, leading.term(), expectedOrders),
            () -> isWanted(engine, leading));
    log.info(
        Event.of("weights-ordered")
            .with("target", engine.id())
            .with("model", model)
            .with("version", version)
            .with("fence", leading.term())
            .with("expectedOrders", expectedOrders)
            .with("status", status));
  }

  /** Tells the fleet at once, ahead of the engine's own next heartbeat. */
  private void announce(Announcement engine, String model, long version) {
    Announcement newest =
        holder.current().target(engine.id()).map(TargetRecord::announcement).orElse(engine);
    List<LoadedWeights> loaded = new ArrayList<>();
    for (LoadedWeights weights : newest.loaded()) {
      boolean isSwapped = weights.modelVersion().startsWith(model + '@');
      loaded.add(isSwapped ? weights.withModelVersion(model + '@' + version) : weights);
    }
    try {
      announcer.announce(newest.withLoaded(loaded).withSequence(newest.sequence() + 1));
    } catch (ServingException e) {
      log.info(
          Event.of("weights-untold").with("target", engine.id()).with("cause", e.getMessage()));
    }
  }
}

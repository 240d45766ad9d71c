package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * A leader that brings engines to the weights that are named, in simulated time. Each engine takes
 * an order at once, accepts no request until it holds the weights, and then holds those that were
 * the newest when it was ordered.
 */
final class SimulatedRollout {

  static final Instant START = Instant.ofEpochSecond(1_000_000);

  private static final Duration ROUND = Duration.ofMillis(100);
  private static final String MODEL = "model";

  private final FleetViewHolder holder = FleetFixtures.holder(List.of(), List.of(), START);
  private final Map<String, Engine> engines = new TreeMap<>();
  private final List<Naming> namings = new ArrayList<>();
  private final List<Instant> starts = new ArrayList<>();
  private final Deque<String> started = new ArrayDeque<>();
  private final Supplier<Duration> swapTime;
  private final WeightsRollout rollout;
  private Instant now = START;
  private Duration longest = Duration.ZERO;

  /** A version that was named, at the time of the leader. */
  private record Naming(long version, Instant at) {}

  /** One engine. */
  private static final class Engine {
    private long version = 1;
    private long orderedVersion;
    private Optional<Instant> readyAt = Optional.empty();
    private Optional<Runnable> swap = Optional.empty();
  }

  /**
   * Creates engines with version 1 of their weights.
   *
   * @param leadership of the instance that gives the orders
   * @param swapTime time that the next swap takes
   */
  SimulatedRollout(int engineCount, Leadership leadership, Supplier<Duration> swapTime) {
    this.swapTime = swapTime;
    for (int i = 0; i < engineCount; i++) {
      engines.put("engine-" + (char) ('a' + i), new Engine());
    }
    this.rollout =
        new WeightsRollout(
            "control-1",
            new LeadingInstance(leadership),
            holder,
            new Orders(),
            announcement -> {},
            this::begin,
            new StartLog(),
            () -> now);
  }

  /**
   * Names the next version.
   *
   * @param clockError by how much the clock of the instance that took the call is ahead
   */
  void name(Duration clockError) {
    long version = namings.size() + 2L;
    namings.add(new Naming(version, now));
    publishView(now.plus(clockError));
  }

  void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      endSwaps();
      rollout.runRound(now);
      engines.values().forEach(engine -> longest = max(longest, replacedFor(engine)));
      now = now.plus(ROUND);
    }
  }

  /** Returns the longest time for which an engine accepted requests on replaced weights. */
  Duration longestOnReplacedWeights() {
    return longest;
  }

  /** Returns the number of engines that hold the newest weights. */
  long currentEngines() {
    return engines.values().stream()
        .filter(engine -> engine.version == namings.size() + 1L)
        .count();
  }

  /** Returns the most swaps that were started within some time. */
  int mostStartsWithin(Duration window) {
    int most = 0;
    for (Instant from : starts) {
      Instant end = from.plus(window);
      long within = starts.stream().filter(at -> !at.isBefore(from) && at.isBefore(end)).count();
      most = Math.max(most, (int) within);
    }
    return most;
  }

  private void begin(Runnable swap) {
    Engine engine = engines.get(started.remove());
    engine.swap = Optional.of(swap);
    engine.readyAt = Optional.of(now.plus(swapTime.get()));
    engine.orderedVersion = namings.size() + 1L;
    starts.add(now);
  }

  private void endSwaps() {
    for (Engine engine : engines.values()) {
      if (engine.readyAt.filter(at -> !now.isBefore(at)).isPresent()) {
        engine.version = engine.orderedVersion;
        engine.readyAt = Optional.empty();
        publishView(holder.current().namedWeights(MODEL).map(this::at).orElse(now));
        engine.swap.orElseThrow().run();
      }
    }
  }

  private Instant at(NamedWeights named) {
    return Instant.ofEpochMilli(named.atMillis());
  }

  private Duration replacedFor(Engine engine) {
    return namings.stream()
        .filter(naming -> naming.version() > engine.version && engine.readyAt.isEmpty())
        .findFirst()
        .map(naming -> Duration.between(naming.at(), now))
        .orElse(Duration.ZERO);
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }

  private void publishView(Instant namedAt) {
    List<TargetRecord> records = new ArrayList<>();
    engines.forEach((id, engine) -> records.add(EngineRecords.of(id, MODEL, engine.version)));
    FleetFixtures.replaceWeights(
        holder,
        records,
        List.of(NamedWeights.of(MODEL, namings.size() + 1L, namedAt.toEpochMilli())),
        now);
  }

  /** Engines whose swap has ended by the time at which they are asked. */
  private final class Orders implements EngineOrders {

    @Override
    public OrderProtocol.EngineReport report(Announcement engine) {
      return new OrderProtocol.EngineReport(
          1, false, Map.of(MODEL, engines.get(engine.id()).version));
    }

    @Override
    public int order(
        Announcement engine, OrderProtocol.WeightsOrder order, BooleanSupplier isAllowed) {
      throw new IllegalStateException(engine.id() + " is ordered after its swap has ended");
    }
  }

  /** Learns which engine the next swap is for. */
  private final class StartLog implements EventLog {

    @Override
    public void info(Event event) {
      if (event.name().equals("weights-swap")) {
        String start = "event=weights-swap target=";
        started.add(event.line().substring(start.length()).split(" ")[0]);
      }
    }

    @Override
    public void warn(Event event) {
      throw new IllegalStateException(event.line());
    }
  }
}

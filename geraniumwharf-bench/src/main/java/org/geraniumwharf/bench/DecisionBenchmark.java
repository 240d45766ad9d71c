package org.geraniumwharf.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.routing.Decision;
import org.geraniumwharf.routing.EstimatedTimePolicy;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.RoutingPolicy;
import org.geraniumwharf.routing.RoutingRequest;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The routing decision alone, with contexts of 1,000 pieces, each held by one target. Every target
 * may serve the request, which is the most that one of several models can have. Run by {@code
 * scripts/bench decision}.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {

  private static final int PIECES = 1000;
  private static final int CONTEXTS = 200;
  private static final int HINTS_PER_TARGET = 16_384;
  private static final Duration EXPECTED = Duration.ofMillis(100);
  private static final Instant NOW = Instant.ofEpochSecond(1000);

  /** Targets that serve the model asked for. */
  @Param({"6", "64", "200", "830"})
  public int targets;

  private final List<RoutingRequest> requests = new ArrayList<>();
  private List<RoutableTarget> candidates = List.of();
  private TargetLoadTable load;
  private RoutingPolicy policy;
  private int next;

  /** Fills the table of loads and cache hints. */
  @Setup
  public void fill() {
    SplittableRandom random = new SplittableRandom(targets);
    load = TargetLoadTable.create(3, HINTS_PER_TARGET);
    policy = EstimatedTimePolicy.create(random.split());
    candidates = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      EngineProfile profile = EngineProfile.of(8, 20_000, 50, 1);
      candidates.add(RoutableTarget.of("engine-" + i, "http://127.0.0.1:1", "dc-1", profile));
    }
    for (int i = 0; i < CONTEXTS; i++) {
      RoutingRequest request = request(i, random);
      requests.add(request);
      String holder = candidates.get(random.nextInt(targets)).id();
      load.recordStart(holder, "attempt", 1, EXPECTED, NOW);
      load.recordFirstToken(holder, "attempt", 1, request.pieces(), EXPECTED, EXPECTED, NOW);
      load.recordFinish(holder, EXPECTED);
    }
  }

  private static RoutingRequest request(int number, SplittableRandom random) {
    List<PieceName> pieces = new ArrayList<>();
    for (int i = 0; i < PIECES; i++) {
      pieces.add(new PieceName(random.nextLong(), random.nextLong()));
    }
    return RoutingRequest.of("request-" + number, pieces, 16, PIECES * 16, Set.of());
  }

  /** Decides for the next context. */
  @Benchmark
  public Optional<Decision> decide() {
    next = (next + 1) % CONTEXTS;
    return policy.decide(requests.get(next), candidates, load, NOW);
  }
}

package org.geraniumwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.ResolvedRequest;
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
 * The placement decision of an entry instance that has sent 1,000 requests. Run by {@code
 * scripts/bench decision}.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementDecisionBenchmark {

  private static final int REQUESTS = 1000;

  /** Targets of the service. */
  @Param({"6", "98", "830"})
  public int targets;

  private final List<ResolvedRequest> requests = new ArrayList<>();
  private PlacementLoad load;
  private int next;

  /** Places the requests once, so that targets have their prompts cached. */
  @Setup
  public void fill() {
    load = new PlacementLoad(targets);
    for (int i = 0; i < REQUESTS; i++) {
      ResolvedRequest request = load.next();
      requests.add(request);
      load.decide(request).ifPresent(choice -> load.end(load.send(request, choice)));
    }
  }

  /** Decides on the next request. */
  @Benchmark
  public Optional<RelayPlacement.Choice> decide() {
    next = (next + 1) % REQUESTS;
    return load.decide(requests.get(next));
  }
}

package org.geraniumwharf.internal.node;

import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.NamedWeights;
import org.junit.jupiter.api.Test;

class WeightsRolloutTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

  /** Guards against an engine that never gets its weights because every worker was busy once. */
  @Test
  void should_start_a_swap_again_after_the_pool_of_workers_was_full() throws Exception {
    AtomicInteger rejected = new AtomicInteger();
    AtomicInteger taken = new AtomicInteger();
    Executor fullTwice =
        task -> {
          if (rejected.get() < 2) {
            rejected.incrementAndGet();
            throw new RejectedExecutionException();
          }
          taken.incrementAndGet();
        };
    Thread rollout = new Thread(rolloutWith(fullTwice));

    rollout.start();
    try {
      await().atMost(Duration.ofSeconds(10)).until(() -> taken.get() == 1);
    } finally {
      rollout.interrupt();
      rollout.join();
    }
  }

  private static WeightsRollout rolloutWith(Executor workers) {
    return new WeightsRollout(
        "control-1",
        new LeadingInstance(new Leadership(1, NOW, Duration.ZERO, true)),
        FleetFixtures.holderOfWeights(
            List.of(EngineRecords.of("engine-1", "model", 1)),
            List.of(NamedWeights.of("model", 2, NOW.toEpochMilli())),
            NOW),
        new HttpEngineOrders(null, null),
        announcement -> {},
        workers,
        EventLog.none(),
        () -> NOW);
  }
}

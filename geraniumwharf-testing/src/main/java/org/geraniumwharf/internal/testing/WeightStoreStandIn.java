package org.geraniumwharf.internal.testing;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;

/** A weight store whose loads slow each other down beyond a number at once. */
final class WeightStoreStandIn extends StandIn {

  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger mostRunning = new AtomicInteger();

  WeightStoreStandIn(StandInOptions options) {
    super(options);
  }

  @Override
  TargetKind kind() {
    return TargetKind.WEIGHT_STORE;
  }

  @Override
  Announcement describe(Announcement bare) {
    return bare.withWeightStore(Optional.of(options().text("weight-store")));
  }

  @Override
  void addRoutes(JavalinConfig config) {
    config.routes.get(
        "/loads",
        context ->
            context.json("{\"running\":" + running + ",\"mostRunning\":" + mostRunning + "}"));
    config.routes.post("/loads/{version}", context -> serve(context, this::load));
  }

  private void load(Context context) {
    int concurrent = running.incrementAndGet();
    mostRunning.accumulateAndGet(concurrent, Math::max);
    try {
      double slowdown = Math.max(1.0, (double) concurrent / options().number("rate-limit", 2));
      Waiting.millis(options().number("load-millis", 1000) * slowdown);
      context.result("loaded " + context.pathParam("version") + "\n");
    } finally {
      running.decrementAndGet();
    }
  }
}

package org.geraniumwharf.internal.testing;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;

/** A booking ledger that runs whatever it is sent and counts how often each key ran. */
final class LedgerStandIn extends StandIn {

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger bookings = new AtomicInteger();

  LedgerStandIn(StandInOptions options) {
    super(options);
  }

  @Override
  TargetKind kind() {
    return TargetKind.SERVICE;
  }

  @Override
  Announcement describe(Announcement bare) {
    return bare.withService(Optional.of(options().text("service")));
  }

  @Override
  void addRoutes(JavalinConfig config) {
    config.routes.get("/counts", this::counts);
    config.routes.post("/<path>", context -> serve(context, this::book));
  }

  private void book(Context context) {
    String key = Optional.ofNullable(context.header("Idempotency-Key")).orElse("none");
    runs.computeIfAbsent(key, name -> new AtomicInteger()).incrementAndGet();
    Waiting.millis(options().number("work-millis", 5));
    context.contentType("application/json");
    context.result(
        "{\"booked\":"
            + Codec.json().encodeText(key)
            + ",\"number\":"
            + bookings.incrementAndGet()
            + "}");
  }

  private void counts(Context context) {
    Map<String, Integer> counts = new TreeMap<>();
    runs.forEach((key, count) -> counts.put(key, count.get()));
    context.contentType("application/json");
    context.result(Codec.json().encode(counts));
  }
}

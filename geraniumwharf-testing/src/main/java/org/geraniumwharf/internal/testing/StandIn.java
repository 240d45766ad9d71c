package org.geraniumwharf.internal.testing;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.geraniumwharf.internal.target.TargetHeaders;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;
import org.geraniumwharf.schema.targets.WeightOrder;

/**
 * What all stand-ins share: the server, the announcements and leaving without cutting a request.
 */
abstract class StandIn {

  private static final int THREADS = 256;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final StandInOptions options;
  private final long incarnation = System.currentTimeMillis();
  private final AtomicInteger inFlight = new AtomicInteger();
  private Optional<Announcer> announcer = Optional.empty();
  private volatile boolean isLeaving;
  private Javalin server;

  StandIn(StandInOptions options) {
    this.options = options;
  }

  abstract Announcement describe(Announcement bare);

  abstract void addRoutes(JavalinConfig config);

  abstract TargetKind kind();

  /** Takes an order that came with the answer to an announcement; only engines take orders. */
  void ordered(WeightOrder order) {}

  StandInOptions options() {
    return options;
  }

  /** Starts the server, the announcements and the handler of SIGTERM. */
  public void start() {
    server =
        Javalin.create(
                config -> {
                  config.startup.showJavalinBanner = false;
                  config.jetty.threadPool = new QueuedThreadPool(THREADS);
                  config.routes.get("/healthz", context -> context.result("ok\n"));
                  addRoutes(config);
                })
            .start("127.0.0.1", options.number("port", 0));
    if (!options.list("daemons").isEmpty()) {
      Announcer started =
          new Announcer(
              options.list("daemons"), options.text("key"), this::announcement, this::ordered);
      announcer = Optional.of(started);
      started.start();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::leave, "leave"));
  }

  int port() {
    return server.port();
  }

  void stop() {
    server.stop();
  }

  void changed() {
    announcer.ifPresent(Announcer::changed);
  }

  private Announcement announcement() {
    return describe(
        Announcement.of(
            options.text("id"),
            incarnation,
            0,
            "http://127.0.0.1:" + server.port(),
            options.text("data-centre", "dc-1"),
            kind(),
            Optional.empty(),
            Optional.empty(),
            List.of(),
            Optional.empty(),
            Optional.empty(),
            isLeaving,
            Optional.empty(),
            0,
            0));
  }

  private void leave() {
    isLeaving = true;
    announcer.ifPresent(Announcer::announce);
    long deadline = System.currentTimeMillis() + options.number("drain-millis", 10_000);
    long quietUntil = System.currentTimeMillis() + options.number("notice-millis", 1500);
    while ((inFlight.get() > 0 || System.currentTimeMillis() < quietUntil)
        && System.currentTimeMillis() < deadline) {
      Waiting.millis(DRAIN_POLL_MILLIS);
    }
  }

  /** Counts a request in flight and echoes its attempt. */
  void serve(Context context, Consumer<Context> work) {
    inFlight.incrementAndGet();
    try {
      String attempt = context.header(TargetHeaders.ATTEMPT);
      if (attempt != null) {
        context.header(TargetHeaders.ATTEMPT, attempt);
      }
      work.accept(context);
    } finally {
      inFlight.decrementAndGet();
    }
  }
}

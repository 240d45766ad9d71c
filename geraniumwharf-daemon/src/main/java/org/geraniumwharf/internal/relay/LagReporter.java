package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.geraniumwharf.logging.Event;

/**
 * Reports the lag of an event loop as a metric, and logs it while it is high. Confined to the event
 * loop.
 */
final class LagReporter implements Consumer<Duration> {

  private static final Duration LOGGED_LAG = Duration.ofMillis(100);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  private final RelayState relay;
  private Duration greatestLag = Duration.ZERO;
  private Instant lastLoggedAt = Instant.MIN;

  private LagReporter(RelayState relay) {
    this.relay = relay;
  }

  static LagReporter create(RelayState relay) {
    return new LagReporter(relay);
  }

  @Override
  public void accept(Duration lag) {
    relay.metrics().eventLoopLagged(lag);
    greatestLag = lag.compareTo(greatestLag) > 0 ? lag : greatestLag;
    Instant now = relay.now();
    if (greatestLag.compareTo(LOGGED_LAG) >= 0 && !now.isBefore(nextLogAt())) {
      relay
          .log()
          .info(
              Event.of("event-loop-lag")
                  .with("greatestMillis", greatestLag.toMillis())
                  .with("inFlight", relay.inFlight().get()));
      greatestLag = Duration.ZERO;
      lastLoggedAt = now;
    }
  }

  private Instant nextLogAt() {
    return lastLoggedAt.equals(Instant.MIN) ? Instant.MIN : lastLoggedAt.plus(LOG_INTERVAL);
  }
}

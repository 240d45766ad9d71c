package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.targets.LoadReport;

/** Updates the load table for one attempt, from its dispatch to its end. Not thread-safe. */
final class AttemptTracker implements AutoCloseable {

  private final TargetLoadTable load;
  private final DaemonMetrics metrics;
  private final InstantSource clock;
  private final TargetChooser.Choice choice;
  private boolean isFirstTokenSeen;

  private AttemptTracker(
      TargetLoadTable load,
      DaemonMetrics metrics,
      InstantSource clock,
      TargetChooser.Choice choice) {
    this.load = load;
    this.metrics = metrics;
    this.clock = clock;
    this.choice = choice;
  }

  static AttemptTracker start(
      TargetLoadTable load,
      DaemonMetrics metrics,
      InstantSource clock,
      TargetChooser.Choice choice) {
    load.recordStart(
        choice.target().id(),
        choice.attempt(),
        choice.missingTokens(),
        choice.expectedLatency(),
        choice.decidedAt());
    return new AttemptTracker(load, metrics, clock, choice);
  }

  void recordLoadReport(Optional<LoadReport> report) {
    report.ifPresent(present -> load.recordReport(choice.target().id(), present, clock.instant()));
  }

  void recordFirstToken(List<PieceName> pieces) {
    if (!isFirstTokenSeen) {
      metrics.firstToken(recordFirstTokenLatency(pieces));
    }
  }

  private Duration recordFirstTokenLatency(List<PieceName> pieces) {
    isFirstTokenSeen = true;
    Instant now = clock.instant();
    Duration actual = Duration.between(choice.decidedAt(), now);
    load.recordFirstToken(
        choice.target().id(),
        choice.attempt(),
        choice.missingTokens(),
        pieces,
        choice.expectedLatency(),
        actual,
        now);
    return actual;
  }

  /**
   * Records that the context is cached after an answer that was not streamed; such an answer has no
   * first-token latency.
   */
  void recordCachedContext(List<PieceName> pieces) {
    load.updateCachedPieces(choice.target().id(), pieces, List.of());
  }

  /**
   * Records that another attempt won before this one had its first token. The elapsed time is a
   * lower bound of its latency.
   */
  void recordLostRace() {
    if (!isFirstTokenSeen) {
      recordFirstTokenLatency(List.of());
    }
  }

  void recordSuccess() {
    load.recordSuccess(choice.target().id());
  }

  void recordFailure() {
    load.recordFailure(choice.target().id(), clock.instant());
  }

  @Override
  public void close() {
    if (!isFirstTokenSeen) {
      load.recordAbandonedBeforeFirstToken(
          choice.target().id(), choice.attempt(), choice.missingTokens());
    }
    load.recordFinish(choice.target().id(), Duration.between(choice.decidedAt(), clock.instant()));
  }
}

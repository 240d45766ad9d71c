package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.LeaveWait;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.LeaveGroupAnswer;
import org.geraniumwharf.schema.messages.LeaveGroupCall;
import org.geraniumwharf.schema.messages.LeaveOutcome;

/**
 * Keeps the local replica in its group until another one has taken its place as a voter, so that
 * the end of this process costs the group no vote and no copy of a committed entry.
 */
final class GroupLeaver {

  private static final Duration INTERVAL = Duration.ofMillis(30);
  private static final Duration TIMEOUT = Duration.ofMillis(1500);

  private final String self;
  private final ControlClient client;
  private final EventLog log;
  private final InstantSource clock;

  GroupLeaver(String self, ControlClient client, EventLog log, InstantSource clock) {
    this.self = self;
    this.client = client;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Blocks until the local replica has no vote, or cannot wait any longer.
   *
   * @param begun when this process was told to stop
   * @param grace time from then after which it is killed
   */
  void leave(Instant begun, Duration grace) {
    LeaveWait wait = LeaveWait.startingAt(begun, grace).after(ask(), clock.instant());
    while (!wait.isOver(clock.instant()) && pause()) {
      wait = wait.after(ask(), clock.instant());
    }
    log.info(
        Event.of("group-left")
            .with("outcome", wait.last().map(LeaveOutcome::name).orElse("UNKNOWN"))
            .with("millis", Duration.between(begun, clock.instant()).toMillis()));
  }

  private Optional<LeaveOutcome> ask() {
    try {
      LeaveGroupAnswer answer =
          client.call(
              LeaveGroupCall.of(self), LeaveGroupAnswer.class, clock.instant().plus(TIMEOUT));
      return Optional.of(answer.outcome());
    } catch (ServingException e) {
      log.info(Event.of("group-leave-unanswered").with("cause", e.getMessage()));
      return Optional.empty();
    }
  }

  /** Returns false if the thread was interrupted. */
  private static boolean pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(INTERVAL.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}

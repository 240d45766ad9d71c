package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ChangeVotersAnswer;
import org.geraniumwharf.schema.messages.ChangeVotersCall;

/** Asks the leader to add the local replica whenever it is not part of a working group. */
final class GroupJoiner implements Runnable {

  private static final Duration INTERVAL = Duration.ofMillis(400);
  private static final Duration TIMEOUT = Duration.ofMillis(1500);

  private final String self;
  private final ControlInstance instance;
  private final ControlClient client;
  private final EventLog log;
  private final InstantSource clock;

  GroupJoiner(
      String self,
      ControlInstance instance,
      ControlClient client,
      EventLog log,
      InstantSource clock) {
    this.self = self;
    this.instance = instance;
    this.client = client;
    this.log = log;
    this.clock = clock;
  }

  @Override
  public void run() {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(INTERVAL.toMillis());
        if (!instance.isJoined()) {
          join();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void join() {
    try {
      ChangeVotersAnswer answer =
          client.call(
              ChangeVotersCall.of(self, true),
              ChangeVotersAnswer.class,
              clock.instant().plus(TIMEOUT));
      log.info(
          Event.of("group-joined")
              .with("voters", answer.membership().voters())
              .with("learners", answer.membership().learners()));
    } catch (ServingException e) {
      log.info(Event.of("group-not-joined").with("cause", e.getMessage()));
    } catch (RuntimeException e) {
      log.warn(Event.of("group-not-joined").with("cause", e));
    }
  }
}

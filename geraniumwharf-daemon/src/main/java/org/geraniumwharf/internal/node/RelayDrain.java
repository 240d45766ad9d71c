package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.fleet.Readiness;
import org.geraniumwharf.internal.relay.Relay;

/** Lets a relay finish what it has begun before its process stops. */
final class RelayDrain {

  /** Time in which the balancer notices that the node is no longer ready. */
  private static final Duration NOTICE = Duration.ofMillis(2600);

  /** Part of the grace time in which requests under way may still end, per cent. */
  private static final int DRAIN_PERCENT = 87;

  /** Part of the grace time in which the last answers may still be sent, per cent. */
  private static final int ANSWERS_PERCENT = 95;

  private static final Duration POLL = Duration.ofMillis(40);

  private RelayDrain() {}

  /**
   * Accepts until the balancer has noticed, then refuses new requests and waits for those under
   * way. The balancer may send requests to the very end: it uses unready instances where too few
   * are ready.
   *
   * @param grace time from {@code begun} after which the process is killed
   * @return requests that were cut because the time was over
   */
  static int drain(
      Relay relay, Readiness readiness, Duration grace, Instant begun, InstantSource clock) {
    relay.startDraining(begun);
    Instant end = begun.plus(grace.multipliedBy(DRAIN_PERCENT).dividedBy(100));
    Instant noticeEnd = begun.plus(noticeTime(Duration.between(begun, end)));
    readiness.refuseFrom(noticeEnd);
    while (clock.instant().isBefore(noticeEnd)) {
      pause();
    }
    while (isBusy(relay) && clock.instant().isBefore(end)) {
      relay.closeIdleConnections();
      pause();
    }
    int cut = relay.inFlight();
    relay.cutRequests();
    Instant answersEnd = begun.plus(grace.multipliedBy(ANSWERS_PERCENT).dividedBy(100));
    do {
      relay.closeIdleConnections();
      pause();
    } while (isBusy(relay) && clock.instant().isBefore(answersEnd));
    return cut;
  }

  private static boolean isBusy(Relay relay) {
    return relay.inFlight() > 0 || relay.hasUnsentAnswers();
  }

  /** Keeps at least half of the time for the requests under way. */
  private static Duration noticeTime(Duration drainTime) {
    Duration half = drainTime.dividedBy(2);
    return half.compareTo(NOTICE) < 0 ? half : NOTICE;
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

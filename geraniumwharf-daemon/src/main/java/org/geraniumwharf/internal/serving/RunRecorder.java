package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.FinishRunAnswer;
import org.geraniumwharf.schema.messages.FinishRunCall;

/**
 * Records how runs ended. If control doesn't answer within a short time, recording is retried in
 * the background until it does, so that the record eventually matches the answer sent to the
 * caller.
 */
public final class RunRecorder implements Runnable {

  private static final Duration FOREGROUND_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration BACKGROUND_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_QUEUED_ENDS = 10_000;

  private final ControlClient control;
  private final EventLog log;
  private final InstantSource clock;
  private final BlockingQueue<FinishRunCall> queue = new LinkedBlockingQueue<>(MAX_QUEUED_ENDS);
  private final AtomicInteger unrecordedCount = new AtomicInteger();

  private RunRecorder(ControlClient control, EventLog log, InstantSource clock) {
    this.control = control;
    this.log = log;
    this.clock = clock;
  }

  public static RunRecorder create(ControlClient control, EventLog log, InstantSource clock) {
    return new RunRecorder(control, log, clock);
  }

  /**
   * Records an end, blocking for at most the foreground timeout; then retries in the background.
   */
  void record(FinishRunCall end) {
    if (!tryRecord(end, FOREGROUND_TIMEOUT)) {
      recordLater(end);
    }
  }

  /** Records an end in the background; it is dropped and logged if the queue is full. */
  void recordLater(FinishRunCall end) {
    unrecordedCount.incrementAndGet();
    if (!queue.offer(end)) {
      unrecordedCount.decrementAndGet();
      log.warn(Event.of("run-end-dropped").with("key", end.run().key()));
    }
  }

  /** Returns the number of ends that are queued or being retried. */
  public int unrecordedCount() {
    return unrecordedCount.get();
  }

  private boolean tryRecord(FinishRunCall end, Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    try {
      FinishRunAnswer answer = control.call(end, FinishRunAnswer.class, deadline);
      log.info(
          Event.of("run-end")
              .with("attempt", end.attempt().attempt())
              .with("organisation", end.run().organisation())
              .with("route", end.run().route())
              .with("key", end.run().key())
              .with("state", answer.state()));
      return true;
    } catch (ServingException e) {
      log.warn(
          Event.of("run-end-unrecorded")
              .with("attempt", end.attempt().attempt())
              .with("cause", e.getMessage()));
      return false;
    }
  }

  @Override
  public void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        FinishRunCall end = queue.take();
        boolean isRecorded = tryRecord(end, BACKGROUND_TIMEOUT);
        while (!isRecorded && !Thread.currentThread().isInterrupted()) {
          isRecorded = tryRecord(end, BACKGROUND_TIMEOUT);
        }
        unrecordedCount.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.geraniumwharf.internal.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.EngineCall;
import org.geraniumwharf.internal.target.EngineStream;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.targets.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FirstTokenRaceTest {

  private static final Duration SHORT = Duration.ofMillis(20);
  private static final Duration LONG = Duration.ofSeconds(30);

  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final TargetLoadTable load = TargetLoadTable.create(3, 10);
  private final FirstTokenRace race = new FirstTokenRace(workers);

  @AfterEach
  void stop() {
    workers.shutdownNow();
  }

  @Test
  void should_start_no_second_attempt_while_the_first_is_in_time() throws Exception {
    FakeCall call = new FakeCall();
    call.arrive();

    StreamAttempt winner =
        race.run(
            attempt("engine-1", call),
            LONG,
            LONG,
            () -> {
              throw new AssertionError("hedged");
            });

    assertEquals(Optional.of("event"), winner.next());
  }

  @Test
  void should_cancel_the_attempt_that_lost_and_hold_it_for_slow() throws Exception {
    FakeCall slow = new FakeCall();
    FakeCall quick = new FakeCall();
    quick.arrive();
    StreamAttempt second = attempt("engine-2", quick);

    StreamAttempt winner =
        race.run(attempt("engine-1", slow), SHORT, LONG, () -> Optional.of(second));

    assertEquals(second, winner);
    assertTrue(slow.isCancelled);
    assertFalse(quick.isCancelled);
    assertEquals(0, load.inFlight("engine-1"));
    assertEquals(1, load.inFlight("engine-2"));
  }

  @Test
  void should_keep_the_first_attempt_when_no_second_is_started() throws Exception {
    FakeCall call = new FakeCall();
    StreamAttempt first = attempt("engine-1", call);

    StreamAttempt winner =
        race.run(
            first,
            SHORT,
            LONG,
            () -> {
              call.arrive();
              return Optional.empty();
            });

    assertEquals(first, winner);
  }

  @Test
  void should_wait_for_the_second_when_the_first_fails() throws Exception {
    FakeCall failing = new FakeCall();
    FakeCall quick = new FakeCall();
    StreamAttempt second = attempt("engine-2", quick);

    StreamAttempt winner =
        race.run(
            attempt("engine-1", failing),
            SHORT,
            LONG,
            () -> {
              failing.fail();
              quick.arrive();
              return Optional.of(second);
            });

    assertEquals(second, winner);
    assertEquals(0, load.inFlight("engine-1"));
  }

  @Test
  void should_fail_and_close_when_the_only_attempt_fails() {
    FakeCall failing = new FakeCall();
    failing.fail();
    StreamAttempt first = attempt("engine-1", failing);

    assertThrows(TargetCallException.class, () -> race.run(first, LONG, LONG, Optional::empty));

    assertTrue(failing.isCancelled);
    assertEquals(0, load.inFlight("engine-1"));
  }

  private StreamAttempt attempt(String engine, EngineCall call) {
    TargetChooser.Choice choice =
        new TargetChooser.Choice(
            RoutableTarget.of(engine, "", "dc-1", RoutableTarget.DEFAULT_PROFILE),
            "attempt-" + engine,
            1,
            false,
            Duration.ofMillis(1),
            Fixtures.NOW);
    AttemptTracker tracker =
        AttemptTracker.start(load, DaemonMetrics.create(), () -> Fixtures.NOW, choice);
    return new StreamAttempt(choice, tracker, call);
  }

  /** A call whose first event arrives, or whose connection fails, when the test triggers it. */
  private static final class FakeCall implements EngineCall {

    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile boolean isFailing;
    private volatile boolean isCancelled;

    void arrive() {
      decided.countDown();
    }

    void fail() {
      isFailing = true;
      decided.countDown();
    }

    @Override
    public EngineStream open() throws TargetCallException {
      try {
        decided.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw TargetCallException.unclear("engine", "interrupted");
      }
      if (isFailing) {
        throw TargetCallException.unclear("engine", "the connection broke");
      }
      return new FakeStream();
    }

    @Override
    public void cancel() {
      isCancelled = true;
      decided.countDown();
    }
  }

  private static final class FakeStream implements EngineStream {

    @Override
    public Optional<String> next() {
      return Optional.of("event");
    }

    @Override
    public Optional<LoadReport> load() {
      return Optional.empty();
    }

    @Override
    public void close() {}
  }
}

package org.geraniumwharf.internal.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.CacheTransferClient;
import org.geraniumwharf.internal.target.EngineCall;
import org.geraniumwharf.internal.target.EngineClient;
import org.geraniumwharf.internal.target.EngineStream;
import org.geraniumwharf.internal.target.StoreClient;
import org.geraniumwharf.internal.target.TargetAnswer;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetRejection;
import org.geraniumwharf.internal.target.TargetRequest;
import org.geraniumwharf.keptcache.ExportPolicy;
import org.geraniumwharf.keptcache.LinkTable;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.routing.RoundRobinPolicy;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.ImportOrder;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptObject;
import org.geraniumwharf.schema.targets.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StreamDispatcherTest {

  private static final int ENGINES = 3;
  private static final int CONTEXT_TOKENS = 16;
  private static final int REJECTED = 400;
  private static final String DONE = "[DONE]";

  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final FleetViewHolder fleet = Fixtures.fleet(ENGINES, 0);
  private final FakeEngines engines = new FakeEngines();
  private final FakeSink sink = new FakeSink();
  private final StreamDispatcher dispatcher = createDispatcher();

  @AfterEach
  void stop() {
    workers.shutdownNow();
  }

  // Guards against the body of a rejection in the middle of the caller's stream.
  @Test
  void should_cut_a_started_stream_whose_rest_every_engine_rejects() {
    engines.breakAfter(token(0, "w0 "));
    engines.rejectAll();

    ServingException failure = assertThrows(ServingException.class, this::serve);

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
    assertEquals(0, sink.wholeAnswers);
    assertEquals(1, sink.events.size());
    assertFalse(sink.events.contains(DONE));
  }

  // Guards against the body of a rejection behind an event that holds no token.
  @Test
  void should_cut_a_stream_that_started_without_a_token() {
    engines.breakAfter(token(0, ""));
    engines.rejectAll();

    assertThrows(ServingException.class, this::serve);

    assertEquals(0, sink.wholeAnswers);
    assertEquals(1, sink.events.size());
  }

  // Guards against a rejection of the rest of a stream that a third engine can complete.
  @Test
  void should_resume_at_a_third_engine_when_the_second_rejects_the_rest() throws Exception {
    engines.breakAfter(token(0, "w0 "));
    engines.reject();
    engines.complete(token(1, "w1 "));

    serve();

    assertEquals(0, sink.wholeAnswers);
    assertEquals(3, sink.events.size());
    assertTrue(sink.events.get(0).contains("w0 "), sink.events.toString());
    assertTrue(sink.events.get(1).contains("w1 "), sink.events.toString());
    assertEquals(DONE, sink.events.get(2));
    assertEquals(ENGINES, engines.called.stream().distinct().count());
  }

  @Test
  void should_relay_a_rejection_before_the_first_event() throws Exception {
    engines.reject();

    serve();

    assertEquals(1, sink.wholeAnswers);
    assertEquals(1, engines.called.size());
    assertTrue(sink.events.isEmpty());
  }

  private void serve() throws Exception {
    dispatcher.serve(
        Fixtures.request(fleet),
        Fixtures.completion(CONTEXT_TOKENS),
        Fixtures.plan(fleet, CONTEXT_TOKENS),
        sink);
  }

  private StreamDispatcher createDispatcher() {
    DaemonMetrics metrics = DaemonMetrics.create();
    TargetLoadTable load = TargetLoadTable.create(3, 10);
    KeptCache kept =
        KeptCache.create(
            false,
            fleet,
            new NoStores(),
            new NoTransfers(),
            LinkTable.create(),
            ExportPolicy.create(1),
            EventLog.none(),
            () -> Fixtures.NOW);
    TargetChooser chooser =
        TargetChooser.create(
            load, DecisionHistory.create(), metrics, EventLog.none(), () -> Fixtures.NOW);
    EngineSelection selection =
        EngineSelection.create(
            chooser, RoundRobinPolicy.create(), kept, load, fleet, () -> Fixtures.NOW);
    return StreamDispatcher.create(
        selection,
        engines,
        kept,
        RetryPolicy.create(metrics, EventLog.none()),
        load,
        metrics,
        workers,
        () -> Fixtures.NOW);
  }

  /** A chunk with a place for the id of its attempt. */
  private static String token(int offset, String text) {
    return "{\"id\":\"x\",\"choices\":[{\"text\":\""
        + text
        + "\"}],\"geraniumwharf\":{\"attempt\":\"ATTEMPT\",\"offset\":"
        + offset
        + "}}";
  }

  /** Engines whose calls take the planned outcomes in turn. */
  private static final class FakeEngines implements EngineClient {

    private final Deque<Outcome> outcomes = new ArrayDeque<>();
    private final List<String> called = new ArrayList<>();
    private boolean isRejectingAll;

    private record Outcome(boolean isRejected, List<String> events) {}

    void breakAfter(String event) {
      outcomes.add(new Outcome(false, List.of(event)));
    }

    void complete(String event) {
      outcomes.add(new Outcome(false, List.of(event, DONE)));
    }

    void reject() {
      outcomes.add(new Outcome(true, List.of()));
    }

    void rejectAll() {
      isRejectingAll = true;
    }

    @Override
    public EngineCall prepare(TargetRequest request) {
      called.add(request.target().id());
      if (outcomes.isEmpty() && isRejectingAll) {
        reject();
      }
      return new FakeCall(request, outcomes.remove());
    }

    @Override
    public TargetAnswer generate(TargetRequest request) {
      throw new AssertionError("not streamed");
    }

    private record FakeCall(TargetRequest request, Outcome outcome) implements EngineCall {

      @Override
      public EngineStream open() throws TargetRejection {
        if (outcome.isRejected()) {
          byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
          throw TargetRejection.of(
              request.target().id(),
              TargetAnswer.of(REJECTED, "application/json", body, Optional.empty()));
        }
        return new FakeStream(request, new ArrayDeque<>(outcome.events()));
      }

      @Override
      public void cancel() {}
    }

    private record FakeStream(TargetRequest request, Deque<String> events) implements EngineStream {

      @Override
      public Optional<String> next() throws TargetCallException {
        if (events.isEmpty()) {
          throw TargetCallException.unclear(request.target().id(), "the connection broke");
        }
        return Optional.of(events.remove().replace("ATTEMPT", request.attempt()));
      }

      @Override
      public Optional<LoadReport> load() {
        return Optional.empty();
      }

      @Override
      public void close() {}
    }
  }

  private static final class FakeSink implements AnswerSink {

    private final List<String> events = new ArrayList<>();
    private int wholeAnswers;

    @Override
    public void sendWhole(int status, String contentType, byte[] body) {
      wholeAnswers++;
    }

    @Override
    public void sendEvent(String data) {
      events.add(data);
    }
  }

  private static final class NoStores implements StoreClient {

    @Override
    public List<KeptObject> lookUp(
        String store, String address, KeptLookup lookup, Duration timeout) {
      throw new AssertionError("looked up");
    }
  }

  private static final class NoTransfers implements CacheTransferClient {

    @Override
    public void exportTo(RoutableTarget engine, ExportOrder order, Duration timeout) {
      throw new AssertionError("exported");
    }

    @Override
    public void importFrom(RoutableTarget engine, ImportOrder order, Duration timeout) {
      throw new AssertionError("imported");
    }
  }
}

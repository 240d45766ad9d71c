package org.geraniumwharf.internal.fleet;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.ClusterKey;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.internal.transport.PeerNetwork;
import org.geraniumwharf.internal.transport.Sockets;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that are not answered within the time to be in touch again. */
class ControlClientTest {

  /** {@code contact_ms} of the users' sheet. */
  private static final Duration CONTACT = Duration.ofSeconds(3);

  private static final Duration LONG_CALL = Duration.ofSeconds(60);
  private static final int INSTANCES = 5;

  private final ClusterKey key = ClusterKey.of("a key for tests only");
  private final MonotonicClock clock = MonotonicClock.create();
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final List<StandInControl> instances = new ArrayList<>();
  private PeerNetwork network;
  private PeerLinks links;
  private ControlClient client;

  @BeforeEach
  void start() throws IOException {
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(StandInControl.start(key, clock));
    }
    network =
        PeerNetwork.create(
            "entry", key, Sockets.of(Optional.empty()), () -> false, EventLog.none());
    ControlDirectory directory =
        ControlDirectory.ofSeeds(instances.stream().map(StandInControl::name).toList());
    links = PeerLinks.create(network, directory::address, workers, clock);
    client = ControlClient.create("entry", directory, links, clock);
  }

  @AfterEach
  void close() {
    links.close();
    network.close();
    instances.forEach(StandInControl::close);
    workers.shutdownNow();
  }

  @Test
  void should_be_answered_in_time_past_two_instances_that_turned_silent() throws Exception {
    connectToAll();
    instances.get(0).silence();
    instances.get(1).silence();
    Instant silentAt = clock.instant();

    client.call(ReadIndexCall.of("entry"), ReadIndexAnswer.class, silentAt.plus(CONTACT));

    assertTrue(Duration.between(silentAt, clock.instant()).compareTo(CONTACT) < 0);
  }

  /** Guards against a stopped thread that goes on calling, without a pause, until its deadline. */
  @Test
  void should_give_a_call_up_when_its_thread_is_interrupted() throws Exception {
    instances.forEach(StandInControl::close);
    CompletableFuture<ErrorKind> outcome = new CompletableFuture<>();
    Thread caller = DaemonThreads.start(() -> outcome.complete(outcomeOfCall(LONG_CALL)), "caller");
    await().atMost(20, SECONDS).until(() -> caller.getState() == Thread.State.TIMED_WAITING);

    caller.interrupt();

    assertEquals(ErrorKind.CONTROL_UNAVAILABLE, outcome.get(5, SECONDS));
  }

  private ErrorKind outcomeOfCall(Duration timeout) {
    try {
      client.call(ReadIndexCall.of("entry"), ReadIndexAnswer.class, clock.instant().plus(timeout));
      throw new AssertionError("the call was answered");
    } catch (ServingException e) {
      return e.kind();
    }
  }

  /** Opens the links to the first instances, of which the client asks the first one first. */
  private void connectToAll() {
    for (StandInControl instance : instances) {
      await()
          .atMost(20, SECONDS)
          .until(
              () ->
                  links
                      .call(instance.name(), ReadIndexCall.of("entry"), CONTACT)
                      .handle((answer, error) -> error == null)
                      .get(20, SECONDS));
    }
    await().atMost(20, SECONDS).until(this::isAnswered);
  }

  private boolean isAnswered() {
    try {
      client.call(ReadIndexCall.of("entry"), ReadIndexAnswer.class, clock.instant().plus(CONTACT));
      return true;
    } catch (ServingException e) {
      return false;
    }
  }
}

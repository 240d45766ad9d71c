package org.geraniumwharf.internal.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a link that is never opened again, and a sending thread that ends, after the pool
 * of workers had no room for one attempt to connect.
 */
class PeerLinkTest {

  private static final ClusterKey KEY = ClusterKey.of("a key that all daemons share");
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration RECONNECT_PAUSE = Duration.ofMillis(100);

  private final PeerNetwork server = network("server", EventLog.none());
  private final List<String> lines = new ArrayList<>();
  private boolean isPoolFull = true;
  private Instant now = Instant.EPOCH;
  private PeerLink link;

  @BeforeEach
  void listen() throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    server.listen(address, new AnsweringHandler());
    Executor workers =
        task -> {
          if (isPoolFull) {
            throw new RejectedExecutionException("every worker is busy");
          }
          task.run();
        };
    link = new PeerLink(address, network("client", new ListedLog(lines)), workers, () -> now);
  }

  @AfterEach
  void close() {
    link.close();
    server.close();
  }

  @Test
  void should_drop_a_message_while_no_worker_is_free_and_connect_once_one_is() throws Exception {
    link.send(ReadIndexCall.of("client"));
    assertThrows(ExecutionException.class, () -> call());

    isPoolFull = false;
    now = now.plus(RECONNECT_PAUSE);
    assertThrows(ExecutionException.class, () -> call());

    assertInstanceOf(ReadIndexAnswer.class, call());
  }

  @Test
  void should_log_each_attempt_to_connect_for_which_no_worker_is_free() {
    link.send(ReadIndexCall.of("client"));
    link.send(ReadIndexCall.of("client"));
    now = now.plus(RECONNECT_PAUSE);
    link.send(ReadIndexCall.of("client"));

    assertEquals(2, lines.size());
    assertTrue(lines.get(0).startsWith("event=link-connect-refused address="), lines.get(0));
  }

  private ControlAnswer call() throws Exception {
    return link.call(ReadIndexCall.of("client"), TIMEOUT)
        .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static PeerNetwork network(String name, EventLog log) {
    return PeerNetwork.create(name, KEY, Sockets.of(Optional.empty()), () -> true, log);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private record ListedLog(List<String> lines) implements EventLog {

    @Override
    public void info(Event event) {
      lines.add(event.line());
    }

    @Override
    public void warn(Event event) {
      lines.add(event.line());
    }
  }

  private static final class AnsweringHandler implements PeerConnection.Handler {

    @Override
    public void received(PeerConnection connection, long correlation, PeerMessage message) {
      connection.answer(correlation, ReadIndexAnswer.of(1));
    }

    @Override
    public void closed(PeerConnection connection) {}
  }
}

package org.geraniumwharf.internal.target;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.routing.RoutableTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response without a length that is taken for complete although its connection was
 * reset: while the request is still being written, the write notices the reset and not the read.
 */
class ResetWhileRequestIsSentTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_ANSWER_BYTES = 1024;
  private static final String ATTEMPT = "attempt-1";

  /** More than the socket buffers on the way hold. */
  private static final int BODY_BYTES = 16 << 20;

  /** Time for the client to fill the socket buffers and wait in its write. */
  private static final long WRITE_MILLIS = 300;

  private final HttpTargetClient client = HttpTargetClient.create();
  private ServerSocket server;

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    DaemonThreads.start(this::answerHalfAndReset, "stand-in-target");
  }

  @AfterEach
  void stopServer() throws IOException {
    server.close();
  }

  private void answerHalfAndReset() {
    try (Socket socket = server.accept()) {
      String head = "HTTP/1.1 200 OK\r\n" + TargetHeaders.ATTEMPT + ": " + ATTEMPT + "\r\n\r\n";
      socket.getOutputStream().write((head + "data: first half\n\n").getBytes(UTF_8));
      TimeUnit.MILLISECONDS.sleep(WRITE_MILLIS);
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The client closed the connection or the test has ended.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void should_not_return_half_of_a_generation_as_complete() {
    TargetCallException failure =
        assertThrows(TargetCallException.class, () -> client.generate(longRequest()));

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
  }

  @Test
  void should_not_return_half_of_an_answer_as_complete() {
    TargetCallException failure =
        assertThrows(TargetCallException.class, () -> client.call(longRequest(), MAX_ANSWER_BYTES));

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
  }

  @Test
  void should_not_end_half_of_a_stream_as_complete() {
    TargetCallException failure =
        assertThrows(TargetCallException.class, () -> readAll(client.prepare(longRequest())));

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
  }

  private static void readAll(EngineCall call) throws TargetCallException, TargetRejection {
    EngineStream stream = call.open();
    Optional<String> event = stream.next();
    while (event.isPresent()) {
      event = stream.next();
    }
    stream.close();
  }

  private TargetRequest longRequest() {
    return TargetRequest.of(
        RoutableTarget.of(
            "target-1",
            "http://127.0.0.1:" + server.getLocalPort(),
            "dc-1",
            RoutableTarget.DEFAULT_PROFILE),
        "/work",
        ATTEMPT,
        Map.of(),
        new byte[BODY_BYTES],
        "application/octet-stream",
        TIMEOUT);
  }
}

package org.geraniumwharf.internal.target;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.routing.RoutableTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a part of a body without a length that is taken for the whole one, and against
 * statuses that are none of HTTP: the target answers before it has read the upload, ends its
 * output, and a reset follows.
 */
class ResponseBeforeUploadIsWholeTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_ANSWER_BYTES = 1024;
  private static final String ATTEMPT = "attempt-1";
  private static final int LONG_BODY_BYTES = 600_000;
  private static final int REPETITIONS = 8;
  private static final String HEAD = "HTTP/1.1 200 OK\r\n" + idLine();

  private final HttpTargetClient client = HttpTargetClient.create();
  private ServerSocket server;
  private volatile String answer = "";
  private volatile boolean isReset;
  private volatile boolean isReadToEnd;
  private volatile long millisToClose;

  private static String idLine() {
    return TargetHeaders.ATTEMPT + ": " + ATTEMPT + "\r\n";
  }

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    DaemonThreads.start(this::serveAll, "stand-in-target");
  }

  @AfterEach
  void stopServer() throws IOException {
    server.close();
  }

  private void serveAll() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        serve(socket);
      } catch (IOException e) {
        // The client closed the connection or the test has ended.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    InputStream input = socket.getInputStream();
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      head += (char) input.read();
    }
    if (isReadToEnd) {
      input.readNBytes(LONG_BODY_BYTES);
    }
    socket.getOutputStream().write(answer.getBytes(UTF_8));
    if (isReset) {
      socket.setSoLinger(true, 0);
      return;
    }
    socket.shutdownOutput();
    TimeUnit.MILLISECONDS.sleep(millisToClose);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 15})
  void should_not_return_a_part_of_an_answer_whose_end_is_followed_by_a_reset(long millis) {
    answer = HEAD + "\r\nfirst half";
    millisToClose = millis;
    List<String> wrong = new ArrayList<>();

    for (int i = 0; i < REPETITIONS; i++) {
      try {
        wrong.add(new String(client.call(upload(), MAX_ANSWER_BYTES).body(), UTF_8));
      } catch (TargetCallException e) {
        assertEquals(Execution.MAY_HAVE_RUN, e.execution());
      }
    }

    assertEquals(List.of(), wrong);
  }

  @Test
  void should_not_end_a_part_of_a_stream_as_complete() {
    answer = HEAD + "\r\ndata: first\n\n";

    for (int i = 0; i < REPETITIONS; i++) {
      assertThrows(TargetCallException.class, () -> readAll(client.prepare(upload())));
    }
  }

  @Test
  void should_not_return_a_part_of_an_answer_that_was_reset_at_once() {
    answer = HEAD + "\r\nfirst half";
    isReset = true;

    for (int i = 0; i < REPETITIONS; i++) {
      assertThrows(TargetCallException.class, () -> client.call(upload(), MAX_ANSWER_BYTES));
    }
  }

  @Test
  void should_return_an_answer_that_ends_with_its_connection_behind_the_whole_upload()
      throws TargetCallException {
    answer = HEAD + "\r\nwhole";
    isReadToEnd = true;

    assertEquals("whole", new String(client.call(upload(), MAX_ANSWER_BYTES).body(), UTF_8));
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 404})
  void should_return_an_early_answer_with_a_length(int status) throws TargetCallException {
    answer = "HTTP/1.1 " + status + " Early\r\n" + idLine() + "Content-Length: 5\r\n\r\nwhole";

    TargetAnswer received = client.call(upload(), MAX_ANSWER_BYTES);

    assertEquals(status, received.status());
    assertEquals("whole", new String(received.body(), UTF_8));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000", "099", "101", "600", "999", "2000", "0200", "+200", "-200", "+20", "-20", " 200",
        "2 00", "20", "2x0", ""
      })
  void should_fail_an_answer_with_an_invalid_status(String status) {
    answer = "HTTP/1.1 " + status + " Odd\r\n" + idLine() + "Content-Length: 5\r\n\r\nwhole";
    isReadToEnd = true;

    TargetCallException failure =
        assertThrows(TargetCallException.class, () -> client.call(upload(), MAX_ANSWER_BYTES));

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
    assertTrue(!failure.isTimeout(), failure.getMessage());
  }

  private static void readAll(EngineCall call) throws TargetCallException, TargetRejection {
    EngineStream stream = call.open();
    Optional<String> event = stream.next();
    while (event.isPresent()) {
      event = stream.next();
    }
    stream.close();
  }

  private TargetRequest upload() {
    return TargetRequest.of(
        RoutableTarget.of(
            "target-1",
            "http://127.0.0.1:" + server.getLocalPort(),
            "dc-1",
            RoutableTarget.DEFAULT_PROFILE),
        "/work",
        ATTEMPT,
        Map.of(),
        new byte[LONG_BODY_BYTES],
        "application/octet-stream",
        TIMEOUT);
  }
}

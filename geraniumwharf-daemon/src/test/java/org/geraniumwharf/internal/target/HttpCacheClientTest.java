package org.geraniumwharf.internal.target;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpCacheClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int PIECE_BYTES = 64 << 10;

  /** Bounds what a client that reads on without a limit has to keep. */
  private static final int PIECES = 1000;

  private final HttpCacheClient client = HttpCacheClient.create();
  private HttpServer server;

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
    server.createContext("/lookup", HttpCacheClientTest::answerWithoutEnd);
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  private static void answerWithoutEnd(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream output = exchange.getResponseBody()) {
      for (int i = 0; i < PIECES; i++) {
        output.write(new byte[PIECE_BYTES]);
      }
    }
  }

  @Test
  void should_reject_an_answer_that_does_not_end() {
    String address = "http://127.0.0.1:" + server.getAddress().getPort();

    TargetCallException failure =
        assertThrows(
            TargetCallException.class,
            () -> client.lookUp("store-1", address, KeptLookup.of(List.of()), TIMEOUT));

    assertTrue(failure.getMessage().contains("exceeds"), failure.getMessage());
  }
}

package org.geraniumwharf.internal.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.routing.RoutableTarget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class HttpTargetClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_ANSWER_BYTES = 1024;
  private static final int UNAVAILABLE = 503;
  private static final String ATTEMPT = "attempt-2";
  private static final String EARLIER_ATTEMPT = "attempt-1";

  private final HttpTargetClient client = HttpTargetClient.create();
  private final List<InetSocketAddress> connections = new CopyOnWriteArrayList<>();
  private volatile Optional<String> answeredAttempt = Optional.empty();
  private HttpServer server;

  /** The ways in which a target is called. */
  private enum CallKind {
    STREAM,
    GENERATE,
    CALL,
    CALL_ONCE
  }

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
    server.createContext("/", this::refuse);
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  private void refuse(HttpExchange exchange) throws IOException {
    connections.add(exchange.getRemoteAddress());
    exchange.getRequestBody().readAllBytes();
    exchange.getResponseHeaders().set(TargetHeaders.RUN, TargetHeaders.NOT_RUN);
    answeredAttempt.ifPresent(
        attempt -> exchange.getResponseHeaders().set(TargetHeaders.ATTEMPT, attempt));
    exchange.sendResponseHeaders(UNAVAILABLE, -1);
    exchange.close();
  }

  // Guards against "not run" for a request that may be running: the refusal is of an earlier one.
  @ParameterizedTest
  @EnumSource(CallKind.class)
  void should_not_trust_the_refusal_of_another_attempt(CallKind kind) {
    answeredAttempt = Optional.of(EARLIER_ATTEMPT);

    TargetCallException failure = failureOf(kind, ATTEMPT);

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
  }

  // Guards against "not run" for a request that may be running: the refusal names no attempt.
  @ParameterizedTest
  @EnumSource(CallKind.class)
  void should_not_trust_a_refusal_without_an_attempt(CallKind kind) {
    answeredAttempt = Optional.empty();

    TargetCallException failure = failureOf(kind, ATTEMPT);

    assertEquals(Execution.MAY_HAVE_RUN, failure.execution());
  }

  // Guards against a target that writes an earlier refusal once more on a kept connection.
  @Test
  void should_not_trust_an_earlier_refusal_repeated_on_a_kept_connection() {
    answeredAttempt = Optional.of(EARLIER_ATTEMPT);

    TargetCallException first = failureOf(CallKind.CALL, EARLIER_ATTEMPT);
    TargetCallException second = failureOf(CallKind.CALL, ATTEMPT);

    assertEquals(1, connections.stream().distinct().count());
    assertEquals(Execution.NOT_RUN, first.execution());
    assertEquals(Execution.MAY_HAVE_RUN, second.execution());
  }

  @ParameterizedTest
  @EnumSource(CallKind.class)
  void should_trust_a_refusal_that_carries_its_attempt(CallKind kind) {
    answeredAttempt = Optional.of(ATTEMPT);

    TargetCallException failure = failureOf(kind, ATTEMPT);

    assertEquals(Execution.NOT_RUN, failure.execution());
  }

  private TargetCallException failureOf(CallKind kind, String attempt) {
    return assertThrows(TargetCallException.class, () -> call(kind, request(attempt)));
  }

  private void call(CallKind kind, TargetRequest request)
      throws TargetCallException, TargetRejection {
    switch (kind) {
      case STREAM -> client.prepare(request).open().close();
      case GENERATE -> client.generate(request);
      case CALL -> client.call(request, MAX_ANSWER_BYTES);
      case CALL_ONCE -> client.callOnce(request, MAX_ANSWER_BYTES);
    }
  }

  private TargetRequest request(String attempt) {
    String address = "http://127.0.0.1:" + server.getAddress().getPort();
    return TargetRequest.of(
        RoutableTarget.of("target-1", address, "dc-1", RoutableTarget.DEFAULT_PROFILE),
        "/work",
        attempt,
        Map.of(),
        new byte[] {1},
        "application/octet-stream",
        TIMEOUT);
  }
}

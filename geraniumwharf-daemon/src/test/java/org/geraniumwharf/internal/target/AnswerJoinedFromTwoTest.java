package org.geraniumwharf.internal.target;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.geraniumwharf.routing.RoutableTarget;
import org.junit.jupiter.api.Test;

/**
 * Guards against the beginning of a second answer to one request that is joined to the answer to
 * the next request on the same connection.
 */
class AnswerJoinedFromTwoTest {

  private static final String ATTEMPT_LINE = TargetHeaders.ATTEMPT.toLowerCase(Locale.ROOT) + ": ";

  @Test
  void should_not_join_two_answers_when_the_first_is_cut_at_any_byte() throws Exception {
    List<String> wrong = new ArrayList<>();
    int length = text(200, "a").length();

    for (int cut = 1; cut <= length; cut++) {
      try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
        int bytes = cut;
        Thread thread = new Thread(() -> serve(server, bytes), "stand-in-target");
        thread.setDaemon(true);
        thread.start();
        HttpTargetClient client = HttpTargetClient.create();
        assertEquals("200 answer-to-a", call(client, server, "a"));
        String next = call(client, server, "b");
        if (!next.equals("404 answer-to-b") && !next.startsWith("failed")) {
          wrong.add(cut + ": " + next);
        }
      }
    }

    assertEquals(List.of(), wrong, wrong.size() + " of " + length);
  }

  private static String call(HttpTargetClient client, ServerSocket server, String attempt) {
    RoutableTarget target =
        RoutableTarget.of(
            "t",
            "http://127.0.0.1:" + server.getLocalPort(),
            "dc-1",
            RoutableTarget.DEFAULT_PROFILE);
    TargetRequest request =
        TargetRequest.of(
            target, "/", attempt, Map.of(), new byte[0], "text/plain", Duration.ofMillis(300));
    try {
      TargetAnswer answer = client.call(request, 1000);
      return answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8);
    } catch (TargetCallException e) {
      return "failed: " + e.getMessage();
    }
  }

  /** Answers the first request with the beginning of a second answer behind the whole one. */
  private static void serve(ServerSocket server, int cut) {
    try (Socket socket = server.accept()) {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String line = input.readLine();
      while (line != null) {
        if (line.toLowerCase(Locale.ROOT).startsWith(ATTEMPT_LINE)) {
          String attempt = line.substring(ATTEMPT_LINE.length());
          String first = text(200, attempt);
          String sent = attempt.equals("a") ? first + first.substring(0, cut) : text(404, attempt);
          socket.getOutputStream().write(sent.getBytes(StandardCharsets.UTF_8));
        }
        line = input.readLine();
      }
    } catch (IOException e) {
      // The other side ended the connection.
    }
  }

  private static String text(int status, String attempt) {
    String body = "answer-to-" + attempt;
    return "HTTP/1.1 "
        + status
        + " Answer\r\nDate: Sat, 05 Dec 2026 21:46:30 GMT\r\n"
        + TargetHeaders.ATTEMPT
        + ": "
        + attempt
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }
}

package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client, whose every request has an id of its own. */
final class Client {

  private static final int TIMEOUT_MILLIS = 12_000;
  private static final long RETRY_MILLIS = 300;

  private final Record record;
  private final InetSocketAddress front;
  private final String name;
  private int requests;

  Client(Record record, InetSocketAddress front) {
    this(record, front, "request");
  }

  /** Creates a client whose request ids begin with a name. */
  Client(Record record, InetSocketAddress front, String name) {
    this.record = record;
    this.front = front;
    this.name = name;
  }

  /** An answer with the id of its request. */
  record Answer(String id, Http.Message message) {}

  /** Waits until the front machines are ready and a request is served. */
  void awaitServed(
      Installation installation,
      String path,
      String key,
      Map<String, String> more,
      double seconds)
      throws Case.NotRunException {
    double end = record.seconds() + seconds;
    while (record.seconds() < end) {
      if (installation.isReady()
          && send("POST", path, key, more, Installation.bytes("warm")).message().status()
              == 200) {
        return;
      }
      Installation.sleep(RETRY_MILLIS);
    }
    throw new Case.NotRunException("no request was served before the trouble");
  }

  /** Sends a request over a new connection; status 0 stands for a connection without an answer. */
  Answer send(String method, String path, String key, Map<String, String> more, byte[] body) {
    requests++;
    String id = String.format("%s-%04d", name, requests);
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", "pule25.example");
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", "10000");
    headers.put("Authorization", "Token " + key);
    headers.putAll(more);
    record.add("client sends %s %s %s with key %s", id, method, path, key);
    Http.Message answer;
    try {
      answer = Http.call(front, method, path, headers, body, TIMEOUT_MILLIS);
    } catch (IOException e) {
      answer = new Http.Message("- 0", Map.of(), Installation.bytes(String.valueOf(e.getMessage())));
    }
    record.add(
        "client gets %s status %d, receipt '%s', %d bytes",
        id, answer.status(), answer.header("X-Server-Stamp"), answer.body().length);
    return new Answer(id, answer);
  }
}

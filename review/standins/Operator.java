package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;

/** The operator: calls one machine that serves control after the other until one answers. */
final class Operator {

  private static final int TIMEOUT_MILLIS = 1000;

  /** Bytes of a body for which the operator waits a millisecond longer. */
  private static final int BYTES_PER_MILLI = 100;

  private static final long BACKOFF_MILLIS = 100;

  private final Record record;
  private final Installation installation;
  private int next;

  Operator(Record record, Installation installation) {
    this.record = record;
    this.installation = installation;
  }

  /** Sends a call to the next machine; status 0 means that there was no answer. */
  private Http.Message callNext(String method, String path, byte[] body) {
    InetSocketAddress machine =
        installation.core().get(next % installation.core().size()).control();
    try {
      return Http.call(
          machine,
          method,
          path,
          Map.of("Content-Type", "application/json"),
          body,
          TIMEOUT_MILLIS + body.length / BYTES_PER_MILLI);
    } catch (IOException e) {
      return new Http.Message("- 0", Map.of(), Installation.bytes(String.valueOf(e.getMessage())));
    }
  }

  private static boolean isFinal(int status) {
    return status == 200 || status == 400 || status == 409 || status == 412 || status == 422;
  }

  /** Sends a call again and again until a machine answers it or the time is over. */
  Http.Message call(String method, String path, String body, double seconds) {
    double end = record.seconds() + seconds;
    byte[] bytes = Installation.bytes(body);
    Http.Message answer = callNext(method, path, bytes);
    while (!isFinal(answer.status()) && record.seconds() < end) {
      next++;
      Installation.sleep(BACKOFF_MILLIS);
      answer = callNext(method, path, bytes);
    }
    return answer;
  }

  /** Sends a manifest until it is confirmed; returns the status of the last answer. */
  int put(long version, String manifest, double seconds) {
    record.add("operator sends manifest %d, %d bytes", version, manifest.length());
    int status = call("POST", "/api/config/put", manifest, seconds).status();
    record.add("manifest %d answered %d", version, status);
    return status;
  }

  /** Reads the manifest back. */
  Http.Message get(double seconds) {
    Http.Message answer = call("GET", "/api/config/get", "", seconds);
    record.add("read back answered %d, %d bytes", answer.status(), answer.body().length);
    return answer;
  }
}

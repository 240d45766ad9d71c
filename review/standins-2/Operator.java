import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** The operator: sends a call to one control address after the other until one answers it. */
final class Operator {

  private static final Duration TIMEOUT = Duration.ofMillis(1000);

  private final Deployment deployment;
  private final Record record;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(TIMEOUT)
          .build();

  Operator(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  /** An answer; the status is 0 if none came. */
  static final class Answer {
    final int status;
    final String body;

    Answer(int status, String body) {
      this.status = status;
      this.body = body;
    }
  }

  Answer post(Node node, String path, String body) throws InterruptedException {
    return call(node, path, HttpRequest.BodyPublishers.ofString(body), "POST");
  }

  Answer get(Node node, String path) throws InterruptedException {
    return call(node, path, HttpRequest.BodyPublishers.noBody(), "GET");
  }

  private Answer call(Node node, String path, HttpRequest.BodyPublisher body, String method)
      throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + deployment.control(node) + path))
              .timeout(TIMEOUT)
              .header("Content-Type", "application/json")
              .method(method, body)
              .build();
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  /** Sends a call until a 2xx confirms it; returns whether that happened in time. */
  boolean confirm(List<Node> nodes, String path, String body, Duration time)
      throws InterruptedException {
    Duration end = record.elapsed().plus(time);
    int next = 0;
    while (record.elapsed().compareTo(end) < 0) {
      Node node = nodes.get(next++ % nodes.size());
      Answer answer = post(node, path, body);
      if (answer.status / 100 == 2) {
        record.add("POST %s confirmed by %s", path, node.name);
        return true;
      }
      Thread.sleep(100);
    }
    record.add("POST %s was not confirmed within %d ms", path, time.toMillis());
    return false;
  }
}

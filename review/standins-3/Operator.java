import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The operator: sends manifests until one is acknowledged. */
final class Operator {

  static final String HOST = "quotes.example";
  static final String KEY = "jnbanfqasnmgkcuyj8pj";

  private final List<String> controls;
  private final Record record;

  Operator(List<String> controls, Record record) {
    this.controls = controls;
    this.record = record;
  }

  /** A route of the service {@code workers}. */
  static String route(String name, String kind, int timeoutMillis, int attempts, boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
        + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
        + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"workers\",\"max_attempts\":"
        + attempts + ",\"public\":false,\"sticky\":true,\"resumable\":" + resumable
        + ",\"target_gap_ms\":300}";
  }

  /** A manifest whose routes lead to one service. */
  static String manifest(int version, boolean isEngine, String... routes) {
    String engine =
        ",\"engine\":{\"slots\":48,\"kv_capacity_tokens\":109648,\"kv_token_bytes\":131072,"
            + "\"link_mbps\":260000.0,\"models\":[{\"name\":\"m0\"}]}";
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[{\"name\":\"workers\",\"health_path\":\"/healthz\",\"max_conns\":290,"
        + "\"protocol\":\"h1\",\"tls\":false" + (isEngine ? engine : "") + "}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
  }

  /** Publishes a manifest at the daemons in turn until one acknowledges it. */
  void publish(String manifest) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int i = 0; System.nanoTime() < end; i++) {
      String at = controls.get(i % controls.size());
      int status = post(at, "/api/config/put", manifest);
      if (status == 200) {
        record.line("operator: the manifest is acknowledged by %s", at);
        return;
      }
      TimeUnit.MILLISECONDS.sleep(200);
    }
    throw new IOException("no daemon acknowledged the manifest");
  }

  /** Posts a call to a daemon; 0 if there is no answer within a second. */
  static int post(String control, String path, String body) {
    String head =
        "POST " + path + " HTTP/1.1\r\nHost: " + control
            + "\r\nContent-Type: application/json\r\nConnection: close\r\n";
    try {
      return Http.call(control, head, body.getBytes(StandardCharsets.UTF_8), 1000).status();
    } catch (IOException e) {
      return 0;
    }
  }
}

package review;

import java.util.ArrayList;
import java.util.List;

/** Manifests with the fields of the example in {@code PROTOCOL.md}. */
final class Manifests {

  static final String HOST = "pule25.example";
  static final String APPLICATION = "kafi81c";
  static final String ENGINES = "huvo11a";
  static final String MODEL = "daka510000";

  private Manifests() {}

  /** Returns a route to the application. */
  static String route(String name, String prefix, String kind, int timeoutMillis) {
    return route(name, prefix, kind, timeoutMillis, APPLICATION);
  }

  static String route(
      String name, String prefix, String kind, int timeoutMillis, String service) {
    boolean isStream = kind.equals("streaming");
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
            + "\"target_latency_ms\":300,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
            + "\"public\":false,\"sticky\":%b,\"resumable\":false%s}",
        name,
        HOST,
        prefix,
        kind,
        timeoutMillis,
        service,
        isStream,
        isStream ? ",\"target_gap_ms\":300" : "");
  }

  /** Returns a tenant. */
  static String tenant(String name, String... keys) {
    List<String> quoted = new ArrayList<>();
    for (String key : keys) {
      quoted.add('"' + key + '"');
    }
    return String.format(
        "{\"name\":\"%s\",\"api_keys\":[%s],\"priority\":1}", name, String.join(",", quoted));
  }

  /** Returns a whole manifest with one application and one service of engines. */
  static String manifest(long version, List<String> routes, List<String> tenants) {
    return String.format(
        "{\"version\":%d,\"routes\":[%s],\"services\":["
            + "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\","
            + "\"tls\":false},"
            + "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":290,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":48,\"kv_capacity_tokens\":109648,"
            + "\"kv_token_bytes\":131072,\"link_mbps\":260000.0,\"moves\":true,\"backups\":true,"
            + "\"managed\":true,\"stride\":9,\"max_inflight\":12,\"pin_ms\":4000.0,"
            + "\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"%s\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
        version,
        String.join(",", routes),
        APPLICATION,
        ENGINES,
        MODEL,
        String.join(",", tenants));
  }
}

/** Manifests as an operator of a small deployment sends them. */
final class Manifests {

  private static final String LIMITS =
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

  private Manifests() {}

  /** Returns a manifest with one plain service. */
  static String plain(Deployment deployment, long version) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r-book\",\"host\":\"pule25.example\","
        + "\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,"
        + "\"target_latency_ms\":300,\"priority\":1,\"service\":\"booking\","
        + "\"max_attempts\":1,\"public\":false}],"
        + "\"services\":[{\"name\":\"booking\",\"health_path\":\"/healthz\","
        + "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
        + LIMITS
        + ",\"tenants\":[{\"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],"
        + "\"priority\":1}]}";
  }
}

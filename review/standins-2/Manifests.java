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

  /** Returns a manifest with one service of engines, a managed store and no tenants. */
  static String engines(long version, String storeAddress, String storeZone) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r-quote\",\"host\":\"pule25.example\","
        + "\"path_prefix\":\"/quote/\",\"kind\":\"streaming\",\"timeout_ms\":10000,"
        + "\"target_latency_ms\":600,\"priority\":2,\"service\":\"quotes\","
        + "\"max_attempts\":1,\"public\":true,\"sticky\":true,\"resumable\":false,"
        + "\"target_gap_ms\":300}],"
        + "\"services\":[{\"name\":\"rules\",\"kv_store_addr\":\""
        + storeAddress
        + "\",\"zone\":\""
        + storeZone
        + "\",\"kv_capacity_tokens\":1490096,\"link_mbps\":590000.0,\"max_inflight\":12,"
        + "\"managed\":true,\"first_ms\":6.0},"
        + "{\"name\":\"quotes\",\"health_path\":\"/healthz\",\"max_conns\":290,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,"
        + "\"kv_capacity_tokens\":109648,\"kv_token_bytes\":131072,\"link_mbps\":260000.0,"
        + "\"moves\":true,\"backups\":true,\"managed\":true,\"stride\":9,"
        + "\"max_inflight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
        + "\"models\":[{\"name\":\"m0\"}]}}],"
        + LIMITS
        + "}";
  }

  /** Returns a manifest with one plain service whose requests may be repeated, without tenants. */
  static String safe(long version) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r-read\",\"host\":\"pule25.example\","
        + "\"path_prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_ms\":1000,"
        + "\"target_latency_ms\":150,\"priority\":2,\"service\":\"booking\","
        + "\"max_attempts\":2,\"public\":true}],"
        + "\"services\":[{\"name\":\"booking\",\"health_path\":\"/healthz\","
        + "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
        + LIMITS
        + "}";
  }

  /** Returns the same with a second route, for requests with long bodies. */
  static String uploads(long version) {
    return safe(version)
        .replace(
            "\"routes\":[",
            "\"routes\":[{\"name\":\"r-up\",\"host\":\"pule25.example\","
                + "\"path_prefix\":\"/up/\",\"kind\":\"unsafe\",\"timeout_ms\":20000,"
                + "\"target_latency_ms\":5000,\"priority\":2,\"service\":\"booking\","
                + "\"max_attempts\":1,\"public\":true},");
  }
}

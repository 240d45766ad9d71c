package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An operator takes away the last keys that the manifest holds; then nobody may be served. */
final class LastKeys {

  private static final String FIRST_KEY = "jnbanfqasnmgkcuyj8pj";
  private static final String SECOND_KEY = "bvk9m68k7b2ex5wa5xwy";
  private static final String FOREIGN_KEY = "a-key-of-no-manifest";
  private static final String PATH = "/puxa400/2f";
  private static final double SECONDS = 20;

  /** {@code config_apply_ms} of the sheet and a second more. */
  private static final long APPLY_MILLIS = 3000;

  /** {@code gap_s} of the site's {@code revoke}. */
  private static final long GAP_MILLIS = 1500;

  private LastKeys() {}

  public static void main(String[] args) {
    Case.run(args, LastKeys::isBroken);
  }

  private static boolean isBroken(Record record, boolean hasTrouble)
      throws IOException, Case.NotRunException {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    try (Installation installation = Installation.start(record, 1);
        Worker worker = Worker.application(record, installation, ran)) {
      Operator operator = new Operator(record, installation);
      put(operator, 1, Manifests.tenant("bozi300", FIRST_KEY), Manifests.tenant("miru500", SECOND_KEY));
      Client client = new Client(record, installation.front(0).front());
      client.awaitServed(installation, PATH, SECOND_KEY, Map.of(), SECONDS);
      put(operator, 2, Manifests.tenant("bozi300"), Manifests.tenant("miru500", SECOND_KEY));
      if (hasTrouble) {
        Installation.sleep(GAP_MILLIS);
        put(operator, 3, Manifests.tenant("bozi300"), Manifests.tenant("miru500"));
      }
      Installation.sleep(APPLY_MILLIS);
      boolean isBroken = isRun(client, ran, FIRST_KEY) | isRun(client, ran, FOREIGN_KEY);
      return isBroken | (hasTrouble && isRun(client, ran, SECOND_KEY));
    }
  }

  private static void put(Operator operator, int version, String... tenants)
      throws Case.NotRunException {
    String manifest =
        Manifests.manifest(
            version,
            List.of(Manifests.route("r-js2eek2", "/puxa400/", "unsafe", 1000)),
            List.of(tenants));
    if (operator.put(version, manifest, SECONDS) != 200) {
      throw new Case.NotRunException("manifest " + version + " was not confirmed");
    }
  }

  /** Sends a request with a key that the manifest in force does not hold. */
  private static boolean isRun(Client client, Set<String> ran, String key) {
    Client.Answer answer = client.send("POST", PATH, key, Map.of(), Installation.bytes("book"));
    return ran.contains(answer.id());
  }
}

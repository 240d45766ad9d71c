package review;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A change of the manifest isolates a tenant. From then on no request of another tenant may use KV
 * cache that a request of this tenant made.
 */
final class IsolatedLater {

  private static final String ISOLATED = "bozi300";
  private static final String ISOLATED_KEY = "jnbanfqasnmgkcuyj8pj";
  private static final String OTHER = "miru500";
  private static final String OTHER_KEY = "bvk9m68k7b2ex5wa5xwy";
  private static final String PATH = "/cufi501/fi50/2f";
  private static final String SHARED_PART = "5c1e07a2:800";
  private static final double SECONDS = 20;

  /** {@code config_apply_ms} of the sheet and a second more. */
  private static final long APPLY_MILLIS = 3000;

  private IsolatedLater() {}

  public static void main(String[] args) {
    Case.run(args, IsolatedLater::isBroken);
  }

  private static boolean isBroken(Record record, boolean hasTrouble)
      throws IOException, Case.NotRunException {
    Engine engine = new Engine(record);
    try (Installation installation = Installation.start(record, 1);
        Worker worker = engine.start(installation)) {
      Operator operator = new Operator(record, installation);
      put(operator, 1, false);
      Client client = new Client(record, installation.front(0).front());
      client.awaitServed(
          installation, PATH, OTHER_KEY, prompt("00000001:100", "00000002:10"), SECONDS);
      send(client, ISOLATED_KEY, prompt(SHARED_PART, "91bd3f06:410"));
      put(operator, 2, hasTrouble);
      Installation.sleep(APPLY_MILLIS);
      engine.forgetUses();
      send(client, OTHER_KEY, prompt(SHARED_PART, "e4402b7d:250"));
      return hasTrouble && engine.hasForeignUse();
    }
  }

  private static void put(Operator operator, int version, boolean isIsolated)
      throws Case.NotRunException {
    String first = Manifests.tenant(ISOLATED, ISOLATED_KEY);
    if (isIsolated) {
      first = first.replace("\"priority\":1", "\"priority\":1,\"isolated\":true");
    }
    String manifest =
        Manifests.manifest(
            version,
            List.of(
                Manifests.route("r-2xp4zhp", "/cufi501/fi50/", "streaming", 8000, Manifests.ENGINES)),
            List.of(first, Manifests.tenant(OTHER, OTHER_KEY)));
    if (operator.put(version, manifest, SECONDS) != 200) {
      throw new Case.NotRunException("manifest " + version + " was not confirmed");
    }
  }

  /** Returns the headers of a request whose prompt has a shared part and a part of its own. */
  private static Map<String, String> prompt(String shared, String own) {
    int tokens = tokens(shared) + tokens(own);
    return Map.of(
        "X-Model", Manifests.MODEL,
        "X-Token-Usage", tokens + ",2",
        "X-Prefix-Hash", shared + "," + own);
  }

  private static int tokens(String part) {
    return Integer.parseInt(part.substring(part.indexOf(':') + 1));
  }

  private static void send(Client client, String key, Map<String, String> prompt)
      throws Case.NotRunException {
    Client.Answer answer = client.send("POST", PATH, key, prompt, Installation.bytes("prompt"));
    if (answer.message().status() != 200) {
      throw new Case.NotRunException(answer.id() + " was not served");
    }
  }

  /** An engine that keeps the parts that it has read, under the text of X-Cache-Salt. */
  private static final class Engine {

    private final Record record;
    private final Map<String, String> makers = new HashMap<>();
    private boolean hasForeignUse;

    Engine(Record record) {
      this.record = record;
    }

    Worker start(Installation installation) throws IOException {
      return new Worker(
          record,
          installation,
          "i-7f3a91c2",
          Manifests.ENGINES,
          "\"stage\":\"colocated\",\"models\":[{\"name\":\""
              + Manifests.MODEL
              + "\",\"version\":1,\"adapters\":[]}],",
          (worker, socket, input) -> {
            while (true) {
              Http.Message request = Http.readRequest(input);
              worker.recordRun(request);
              read(request);
              socket.getOutputStream().write(stream(request));
            }
          });
    }

    /** Uses the leading parts that are kept, and keeps the rest. */
    private synchronized void read(Http.Message request) {
      String id = request.header("X-Request-Id");
      String tenant = request.header("X-Tenant");
      String salt = request.header("X-Cache-Salt");
      boolean isKept = true;
      for (String part : request.header("X-Prefix-Hash").split(",")) {
        String maker = makers.get(salt + '/' + part);
        isKept &= maker != null;
        if (isKept) {
          record.add("%s of %s uses part %s under '%s', made by %s", id, tenant, part, salt, maker);
          hasForeignUse |= !maker.equals(tenant);
        } else {
          record.add("%s of %s makes part %s under '%s'", id, tenant, part, salt);
          makers.put(salt + '/' + part, tenant);
        }
      }
    }

    private static byte[] stream(Http.Message request) {
      String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
      return Installation.bytes(
          Worker.head(request)
              + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(events.length())
              + "\r\n"
              + events
              + "\r\n0\r\n\r\n");
    }

    synchronized void forgetUses() {
      hasForeignUse = false;
    }

    synchronized boolean hasForeignUse() {
      return hasForeignUse;
    }
  }
}

import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of a plain service. A script decides what it answers. */
final class PlainWorker implements AutoCloseable {

  private static final int SLOTS = 6;
  private static final int OK = 200;
  private static final int MISDIRECTED = 421;

  final String id;
  final String zone;
  final String address;
  final long born = System.currentTimeMillis();
  private final String service;
  private final Script script;
  private final HttpServer server;
  private final AtomicInteger runs = new AtomicInteger();

  /** Writes the answer to a request that runs; the connection is kept if it returns true. */
  interface Script {
    boolean run(
        PlainWorker worker,
        HttpServer.Request request,
        Map<String, String> headers,
        OutputStream output)
        throws IOException, InterruptedException;
  }

  PlainWorker(String id, String zone, String address, String service, Script script)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.address = address;
    this.service = service;
    this.script = script;
    this.server = new HttpServer(address, this::handle);
    server.open();
  }

  String heartbeat(long sequence) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + SLOTS
        + ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":"
        + sequence
        + ",\"born\":"
        + born
        + "}";
  }

  private boolean handle(HttpServer.Request request, OutputStream output)
      throws IOException, InterruptedException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Instance-Id", id);
    headers.put("Keep-Alive", "timeout=5");
    if (!request.header("X-Request-Id").isEmpty()) {
      headers.put("X-Request-Id", request.header("X-Request-Id"));
    }
    String expected = request.header("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      headers.put("X-Not-Executed", "1");
      HttpServer.answer(output, MISDIRECTED, headers, "");
      return true;
    }
    if (request.path().equals("/healthz")) {
      HttpServer.answer(output, OK, headers, "");
      return true;
    }
    headers.put("X-Server-Stamp", id + "." + runs.incrementAndGet());
    return script.run(this, request, headers, output);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}

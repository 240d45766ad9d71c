import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client sends requests whose bodies are the text of another request. Fails if a worker runs one
 * of those.
 */
public final class RequestInsideARequest {

  private static final Duration START = Duration.ofSeconds(20);
  private static final int ROUNDS = 5;
  private static final int ANSWER_MILLIS = 1500;
  private static final int OK = 200;
  private static final String INNER_MARK = "inner-";

  private final Record record;
  private final Deployment deployment;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean isOver = new AtomicBoolean();

  private RequestInsideARequest(Record record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = Record.create(Path.of(args[0]));
    int status = 2;
    try (Deployment deployment = Deployment.create(record)) {
      status = new RequestInsideARequest(record, deployment).run(isTrouble);
    } catch (Exception e) {
      record.add("could not run: %s", e);
    }
    System.exit(status);
  }

  private int run(boolean isTrouble) throws Exception {
    List<Node> cores = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      cores.add(deployment.add(number, true));
    }
    Node front = deployment.add(6, false);
    List<PlainWorker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      workers.add(
          new PlainWorker(
              "i-" + i, front.zone, deployment.address(60 + i, 5), "booking", this::answer));
    }
    for (Node node : deployment.nodes) {
      node.start(true);
    }
    Operator operator = new Operator(deployment, record);
    if (!operator.confirm(cores, "/api/config/put", Manifests.safe(7), START)) {
      return 2;
    }
    HttpServer.thread("heartbeats", () -> sendHeartbeats(operator, cores, workers));
    Thread.sleep(5000);
    for (int round = 1; round <= ROUNDS; round++) {
      for (Map.Entry<String, String> framing : framings(isTrouble).entrySet()) {
        send(front, framing.getKey() + '-' + round, framing.getValue());
      }
    }
    isOver.set(true);
    long inner = ran.stream().filter(id -> id.startsWith(INNER_MARK)).count();
    record.add("%d requests ran, %d of them from inside another one", ran.size(), inner);
    if (!isTrouble && ran.size() == inner) {
      return 2;
    }
    return inner > 0 ? 1 : 0;
  }

  /** Headers that tell how the body ends; LENGTH stands for the length of the text. */
  private static Map<String, String> framings(boolean isTrouble) {
    Map<String, String> framings = new LinkedHashMap<>();
    if (isTrouble) {
      framings.put("gzip", "Transfer-Encoding: gzip\r\n");
      framings.put("both", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n");
    } else {
      framings.put("length", "Content-Length: LENGTH\r\n");
    }
    return framings;
  }

  private void send(Node front, String name, String framing) throws Exception {
    String inner =
        "GET /read/inner HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: "
            + INNER_MARK
            + name
            + "\r\nX-Deadline-Ms: 1000\r\n\r\n";
    String body = framing.contains("chunked") ? "0\r\n\r\n" + inner : inner;
    String text =
        "POST /read/outer HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: outer-"
            + name
            + "\r\nX-Deadline-Ms: 1000\r\n"
            + framing.replace("LENGTH", String.valueOf(body.length()))
            + "\r\n"
            + body;
    record.add("client sends %s", text.replace("\r\n", "|"));
    String address = deployment.front(front);
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          ANSWER_MILLIS);
      socket.setSoTimeout(ANSWER_MILLIS / 3);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      record.add("client gets %s", read(socket).replace("\r\n", "|"));
    }
  }

  /** Reads until the channel ends or nothing comes. */
  private static String read(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[4096];
    try {
      int count = socket.getInputStream().read(buffer);
      while (count >= 0) {
        text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
        count = socket.getInputStream().read(buffer);
      }
      return text + "(closed)";
    } catch (SocketTimeoutException e) {
      return text + "(kept open)";
    }
  }

  private boolean answer(
      PlainWorker worker,
      HttpServer.Request request,
      Map<String, String> headers,
      OutputStream output)
      throws IOException {
    String id = request.header("X-Request-Id");
    ran.add(id);
    record.add(
        "%s runs request %s: %s %s, body of %d bytes",
        worker.id, id, request.method, request.target, request.body.length());
    HttpServer.answer(output, OK, headers, "quote");
    return true;
  }

  private void sendHeartbeats(Operator operator, List<Node> cores, List<PlainWorker> workers) {
    try {
      for (long sequence = 1; !isOver.get(); sequence++) {
        for (int i = 0; i < workers.size(); i++) {
          PlainWorker worker = workers.get(i);
          operator.post(
              cores.get(i),
              "/api/instances/" + worker.id + "/heartbeat",
              worker.heartbeat(sequence));
        }
        Thread.sleep(1100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

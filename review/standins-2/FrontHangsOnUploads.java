import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send long bodies, within the limits of the manifest, at once. Fails if small
 * requests of others then get no answer until half a second after their route's timeout.
 */
public final class FrontHangsOnUploads {

  private static final Duration START = Duration.ofSeconds(20);
  private static final int WORKERS = 3;
  private static final int UPLOADS = 40;

  /** Below {@code max_body_bytes}, 4,194,304. */
  private static final int BODY_BYTES = 4_000_000;

  /** Together 320 Mbit/s, a third of the link of a front. */
  private static final int BYTES_PER_SECOND = 1_000_000;

  private static final int PIECE_BYTES = 20_000;
  private static final int MILLIS_PER_SECOND = 1000;
  private static final int REQUESTS = 300;
  private static final int REQUESTS_BEFORE = 50;
  private static final long REQUEST_GAP_MILLIS = 100;
  private static final int DEADLINE_MILLIS = 4000;
  private static final int UPLOAD_DEADLINE_MILLIS = 20_000;
  private static final int TIMEOUT_MILLIS = 1000;
  private static final int SLACK_MILLIS = 500;
  private static final int MIN_LATE = 8;
  private static final int END_MILLIS = 30_000;
  private static final int OK = 200;

  private final Record record;
  private final Deployment deployment;
  private final boolean isTrouble;
  private final AtomicBoolean isOver = new AtomicBoolean();
  private final AtomicInteger uploads = new AtomicInteger();
  private final List<Sent> sent = new CopyOnWriteArrayList<>();

  /** A small request of a client. */
  private static final class Sent {
    private final Duration at;
    private volatile Duration answeredAt;

    Sent(Duration at) {
      this.at = at;
    }

    boolean isAnsweredWithin(int millis) {
      return answeredAt != null && answeredAt.minus(at).toMillis() <= millis;
    }
  }

  private FrontHangsOnUploads(Record record, Deployment deployment, boolean isTrouble) {
    this.record = record;
    this.deployment = deployment;
    this.isTrouble = isTrouble;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = Record.create(Path.of(args[0]));
    int status = 2;
    try (Deployment deployment = Deployment.create(record)) {
      status = new FrontHangsOnUploads(record, deployment, isTrouble).run();
    } catch (Exception e) {
      record.add("could not run: %s", e);
    }
    System.exit(status);
  }

  private int run() throws Exception {
    List<Node> cores = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      cores.add(deployment.add(number, true));
    }
    Node front = deployment.add(6, false);
    List<PlainWorker> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(
          new PlainWorker(
              "i-" + i, front.zone, deployment.address(60 + i, 5), "booking", this::answer));
    }
    for (Node node : deployment.nodes) {
      node.start(true);
    }
    Operator operator = new Operator(deployment, record);
    if (!operator.confirm(cores, "/api/config/put", Manifests.uploads(7), START)) {
      return 2;
    }
    HttpServer.thread("heartbeats", () -> sendHeartbeats(operator, cores, workers));
    // Longer than contact_ms, so that the front is in touch.
    Thread.sleep(6000);
    for (int i = 1; i <= REQUESTS; i++) {
      int number = i;
      if (isTrouble && number == REQUESTS_BEFORE) {
        startUploads(front);
      }
      HttpServer.thread("client", () -> send(front, number));
      Thread.sleep(REQUEST_GAP_MILLIS);
    }
    long begun = System.nanoTime();
    while (sent.stream().anyMatch(request -> request.answeredAt == null)
        && (System.nanoTime() - begun) / 1_000_000 < END_MILLIS) {
      Thread.sleep(200);
    }
    isOver.set(true);
    record.add("%d uploads ran; the front lives: %s", uploads.get(), front.isAlive());
    return judge();
  }

  private boolean answer(
      PlainWorker worker,
      HttpServer.Request request,
      Map<String, String> headers,
      OutputStream output)
      throws IOException {
    if (request.body.length() == BODY_BYTES) {
      uploads.incrementAndGet();
    }
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

  private void startUploads(Node front) {
    record.add("%d clients begin to send %d bytes each", UPLOADS, BODY_BYTES);
    for (int i = 1; i <= UPLOADS; i++) {
      int number = i;
      HttpServer.thread("upload", () -> upload(front, number));
    }
  }

  private void upload(Node front, int number) {
    String address = deployment.front(front);
    int colon = address.lastIndexOf(':');
    String head =
        String.format(
            "POST /up/x HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: u%015x\r\n"
                + "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
            number, UPLOAD_DEADLINE_MILLIS, BODY_BYTES);
    Duration begun = record.elapsed();
    String seen = "";
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          TIMEOUT_MILLIS);
      socket.setSoTimeout(UPLOAD_DEADLINE_MILLIS);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      byte[] piece = new byte[PIECE_BYTES];
      for (int sentBytes = 0; sentBytes < BODY_BYTES; sentBytes += PIECE_BYTES) {
        socket.getOutputStream().write(piece);
        Thread.sleep((long) MILLIS_PER_SECOND * PIECE_BYTES / BYTES_PER_SECOND);
      }
      InputStream input = socket.getInputStream();
      byte[] answer = new byte[64];
      int count = input.read(answer);
      seen = count < 0 ? "closed" : new String(answer, 9, 3, StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      seen = e.toString();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record.add(
        "upload %d: %s after %d ms", number, seen, record.elapsed().minus(begun).toMillis());
  }

  private void send(Node front, int number) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", String.format("%016x", number));
    headers.put("X-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
    Sent request = new Sent(record.elapsed());
    sent.add(request);
    Caller.Answer answer =
        Caller.send(
            deployment.front(front), "GET", "pule25.example", "/read/x", headers, "", END_MILLIS);
    if (answer.status != 0) {
      request.answeredAt = record.elapsed();
    }
    record.add(
        "request %016x: %d after %d ms %s",
        number,
        answer.status,
        record.elapsed().minus(request.at).toMillis(),
        answer.status == 0 ? answer.body : "");
  }

  /** CONFIG: requests without an answer at the timeout, and those without one half a second on. */
  private int judge() {
    long open = sent.stream().filter(each -> !each.isAnsweredWithin(TIMEOUT_MILLIS)).count();
    long late =
        sent.stream()
            .filter(each -> !each.isAnsweredWithin(TIMEOUT_MILLIS + SLACK_MILLIS))
            .count();
    record.add(
        "%d requests, %d without an answer after %d ms, %d of them after %d ms",
        sent.size(), open, TIMEOUT_MILLIS, late, TIMEOUT_MILLIS + SLACK_MILLIS);
    if (sent.stream().noneMatch(each -> each.isAnsweredWithin(TIMEOUT_MILLIS))) {
      return 2;
    }
    return late >= MIN_LATE && 2 * late > open ? 1 : 0;
  }
}

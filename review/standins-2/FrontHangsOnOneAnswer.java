import java.io.IOException;
import java.io.OutputStream;
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
 * A worker sends one answer whose body holds many status lines. Fails if requests to the other
 * workers then get no answer from the front until half a second after their route's timeout.
 */
public final class FrontHangsOnOneAnswer {

  private static final Duration START = Duration.ofSeconds(20);
  private static final int WORKERS = 3;
  private static final int BODY_BYTES = 500_000;
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\n";

  /** A text of the same length for the run without the disruption. */
  private static final String OTHER_LINE = "PTTH/1.1 200 OK\n";

  /** Requests of the run, and the rank of the one that gets the answer. */
  private static final int REQUESTS = 200;

  private static final int SPOILT_ANSWER = 60;
  private static final long REQUEST_GAP_MILLIS = 100;
  private static final int DEADLINE_MILLIS = 4000;
  private static final int TIMEOUT_MILLIS = 1000;
  private static final int SLACK_MILLIS = 500;
  private static final int MIN_LATE = 8;
  private static final long END_MILLIS = 45_000;
  private static final int OK = 200;

  private final Record record;
  private final Deployment deployment;
  private final boolean isTrouble;
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicBoolean isOver = new AtomicBoolean();
  private final List<Sent> sent = new CopyOnWriteArrayList<>();

  /** A request of a client. */
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

  private FrontHangsOnOneAnswer(Record record, Deployment deployment, boolean isTrouble) {
    this.record = record;
    this.deployment = deployment;
    this.isTrouble = isTrouble;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = Record.create(Path.of(args[0]));
    int status = 2;
    try (Deployment deployment = Deployment.create(record)) {
      status = new FrontHangsOnOneAnswer(record, deployment, isTrouble).run();
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
    if (!operator.confirm(cores, "/api/config/put", Manifests.safe(7), START)) {
      return 2;
    }
    HttpServer.thread("heartbeats", () -> sendHeartbeats(operator, cores, workers));
    // Longer than contact_ms, so that the front is in touch.
    Thread.sleep(6000);
    for (int i = 1; i <= REQUESTS; i++) {
      int number = i;
      HttpServer.thread("client", () -> send(front, number));
      Thread.sleep(REQUEST_GAP_MILLIS);
    }
    long begun = System.nanoTime();
    while (isAnyOpen() && (System.nanoTime() - begun) / 1_000_000 < END_MILLIS) {
      Thread.sleep(200);
    }
    isOver.set(true);
    return judge();
  }

  private boolean isAnyOpen() {
    return sent.stream().anyMatch(request -> request.answeredAt == null);
  }

  private boolean answer(
      PlainWorker worker,
      HttpServer.Request request,
      Map<String, String> headers,
      OutputStream output)
      throws IOException {
    boolean isSpoilt = runs.incrementAndGet() == SPOILT_ANSWER;
    if (isSpoilt) {
      record.add(
          "%s answers request %s with %d bytes", worker.id, request.header("X-Request-Id"),
          BODY_BYTES);
    }
    String line = isTrouble ? STATUS_LINE : OTHER_LINE;
    HttpServer.answer(
        output, OK, headers, isSpoilt ? line.repeat(BODY_BYTES / line.length()) : "quote");
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

  private void send(Node front, int number) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Request-Id", String.format("%016x", number));
    headers.put("X-Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
    Sent request = new Sent(record.elapsed());
    sent.add(request);
    Caller.Answer answer =
        Caller.send(
            deployment.front(front),
            "GET",
            "pule25.example",
            "/read/x",
            headers,
            "",
            (int) END_MILLIS);
    request.answeredAt = record.elapsed();
    record.add(
        "request %016x: %d after %d ms",
        number, answer.status, request.answeredAt.minus(request.at).toMillis());
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

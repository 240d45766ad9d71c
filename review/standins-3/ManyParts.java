import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each worker that begins to write an answer on it, and the prompts
 * that hold it are long: a part for each block of memory. Requests with the part come at two front
 * machines, beside sound ones. Judged: how many requests with the part reach workers later than
 * contact_ms after the fifth crash.
 */
final class ManyParts {

  private static final double CONTACT = 3.0;
  private static final int COUNTED_CRASH = 5;
  private static final int MOST_LATE = 3;
  private static final int RESTART_MILLIS = 2000;
  private static final int WORKERS = 13;

  /** Parts of a long prompt behind the crashing one; 12 bytes each of its header. */
  private static final int BLOCKS = 600;

  private static final String CRASHING = "c0a51e07";

  private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
  private static final List<Double> ARRIVALS = new CopyOnWriteArrayList<>();
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger STARTS = new AtomicInteger();

  private final Deployment deployment;
  private final Record record;
  private final boolean isTrouble;
  private final ExecutorService calls = Executors.newCachedThreadPool();

  private ManyParts(Deployment deployment, Record record, boolean isTrouble) {
    this.deployment = deployment;
    this.record = record;
    this.isTrouble = isTrouble;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(5, 2, record)) {
      int exit = new ManyParts(deployment, record, isTrouble).run();
      record.line("exit %d", exit);
      deployment.close();
      System.exit(exit);
    } catch (IOException | InterruptedException e) {
      System.err.println("the case could not run: " + e);
      System.exit(2);
    }
  }

  private int run() throws IOException, InterruptedException {
    deployment.start(Map.of());
    new Operator(deployment.controls(), record)
        .publish(
            Operator.manifest(1, true, Operator.route("draft", "streaming", 8000, 2, true)));
    for (int i = 1; i <= WORKERS; i++) {
      startWorker(deployment.otherHost(i));
    }
    deployment.awaitReady(40);
    awaitServed();
    Worker.sleep(4000);
    // Sound requests all the while; one with the part every half second, from the third second on.
    for (int n = 0; n < 120; n++) {
      send("sound-", "aa01:500," + hex("context-" + n % 10) + ":400,");
      if (n >= 12 && n % 2 == 0) {
        send("crashing-", "aa01:500," + CRASHING + ":200," + blocks(n));
      }
      Worker.sleep(250);
    }
    calls.shutdown();
    calls.awaitTermination(20, TimeUnit.SECONDS);
    long late = 0;
    if (CRASHES.size() >= COUNTED_CRASH) {
      double from = CRASHES.get(COUNTED_CRASH - 1) + CONTACT;
      late = ARRIVALS.stream().filter(at -> at > from).count();
    }
    String result =
        CRASHES.size() + " crashes; " + late
            + " requests with the part reached workers over 3 s after the fifth";
    record.line("%s", result);
    System.out.println(result);
    return late > MOST_LATE ? 1 : 0;
  }

  private void startWorker(String host) throws IOException {
    String id = "i-" + STARTS.incrementAndGet();
    new Worker(id, host, deployment.workerPort(), true, this::answer)
        .reportTo(deployment.controls());
    record.line("worker %s starts at %s", id, host);
  }

  private boolean answer(Worker worker, Http.Message request, OutputStream out)
      throws IOException {
    if (!request.firstLine().startsWith("POST /draft/")) {
      worker.succeed(request, out, "{}".getBytes(StandardCharsets.UTF_8));
      return true;
    }
    String id = request.header("X-Request-Id");
    record.line("worker %s gets %s", worker.id, id);
    if (request.header("X-Prefix-Hash").contains(CRASHING + ":")) {
      ARRIVALS.add(record.seconds());
      if (isTrouble) {
        Worker.sleep(20);
        CRASHES.add(record.seconds());
        record.line("worker %s crashes under %s", worker.id, id);
        worker.crash();
        Worker.thread(() -> restart(worker));
        return false;
      }
    }
    worker.stream(request, out, 20);
    return true;
  }

  private void restart(Worker crashed) {
    Worker.sleep(RESTART_MILLIS);
    String host = crashed.address().substring(0, crashed.address().lastIndexOf(':'));
    for (int tries = 0; tries < 20; tries++) {
      try {
        startWorker(host);
        return;
      } catch (IOException e) {
        Worker.sleep(100);
      }
    }
  }

  /** Returns a context of one request, in parts of a block of memory each. */
  private static String blocks(int n) {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < BLOCKS; i++) {
      parts.append(hex("block-" + n + "-" + i)).append(":16,");
    }
    return parts.toString();
  }

  private static String hex(String name) {
    return String.format("%08x", name.hashCode());
  }

  private void send(String kind, String leadingParts) {
    int n = NUMBER.incrementAndGet();
    calls.execute(() -> call(n, kind + n, leadingParts + hex("last" + n) + ":30"));
  }

  private int call(int n, String id, String prompt) {
    int front = 1 + n / 2 % 2;
    String head =
        "POST /draft/x HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Model: m0\r\nX-Token-Usage: 990,3\r\nX-Prefix-Hash: " + prompt
            + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token " + Operator.KEY
            + "\r\nConnection: close\r\n";
    int status = 0;
    try {
      status =
          Http.call(
                  deployment.front(front), head, "body".getBytes(StandardCharsets.UTF_8), 9000)
              .status();
    } catch (IOException e) {
      // No whole answer.
    }
    record.line("caller: %s at front-%d, status %d", id, front, status);
    return status;
  }

  private void awaitServed() throws IOException {
    for (int i = 0; i < 100; i++) {
      int n = NUMBER.incrementAndGet();
      if (call(n, "first-" + n, "aa01:500,bb:400," + hex("last" + n) + ":30") == 200) {
        return;
      }
      Worker.sleep(200);
    }
    throw new IOException("no request is served");
  }
}

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each worker that begins to write an answer on it, beside sound
 * requests. Two workers crash under it while they are at work for other callers, who share a context
 * and leave soon after; two more crash later, the last of them under a long prompt. Judged: how
 * often control processes end by themselves. No process of the system is touched.
 */
final class ControlProcessesEnd {

  private static final int CORES = 5;
  private static final int ENDS_TO_COUNT = 3;
  private static final int WORKERS = 13;
  private static final int RESTART_MILLIS = 2000;

  /** Requests of other callers that are at work when the first two workers crash. */
  private static final int SLOW_REQUESTS = 80;

  /** Time after which their callers leave; the answers take three times two seconds. */
  private static final int PATIENCE_MILLIS = 2600;

  private static final int SLOW_PAUSE_MILLIS = 2000;
  private static final double OBSERVED_SECONDS = 30;

  /** Parts of the long prompt, one for each block of memory; with 12 bytes each of its header. */
  private static final int BLOCKS = 600;

  private static final String CRASHING = "c0a51e07";
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger STARTS = new AtomicInteger();

  private final Deployment deployment;
  private final Record record;
  private final ExecutorService calls = Executors.newCachedThreadPool();

  private ControlProcessesEnd(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(CORES, 2, record)) {
      int exit = new ControlProcessesEnd(deployment, record).run(isTrouble);
      record.line("exit %d", exit);
      deployment.close();
      System.exit(exit);
    } catch (IOException | InterruptedException e) {
      System.err.println("the case could not run: " + e);
      System.exit(2);
    }
  }

  private int run(boolean isTrouble) throws IOException, InterruptedException {
    deployment.start(Map.of());
    Operator operator = new Operator(deployment.controls(), record);
    String route = Operator.route("draft", "streaming", 8000, 1, false);
    operator.publish(Operator.manifest(1, true, route));
    for (int i = 1; i <= WORKERS; i++) {
      startWorker(deployment.otherHost(i));
    }
    deployment.awaitReady(40);
    awaitServed();
    Worker.thread(this::sendSoundOften);
    Worker.sleep(5000);

    for (int i = 0; i < SLOW_REQUESTS; i++) {
      sendSlow();
    }
    Worker.sleep(700);
    if (isTrouble) {
      sendCrashing("", 1000);
      sendCrashing("", 2500);
      sendCrashing("", 2000);
      sendCrashing(blocks(), 0);
    }
    Map<Integer, Integer> ends = observe();
    long often = ends.values().stream().filter(count -> count >= ENDS_TO_COUNT).count();
    String result =
        "ends of control processes by themselves, by machine: " + ends + "; three or more on " + often
            + " of " + CORES;
    record.line("%s", result);
    record.line("a new manifest is answered with %d", publishOnce(Operator.manifest(5, true, route)));
    for (int i = 1; i <= CORES; i++) {
      for (String line : deployment.logLines("core-" + i, "event=replica-failed")) {
        record.line("log of core-%d: %s", i, line);
      }
    }
    System.out.println(result);
    return 2 * often >= CORES ? 1 : 0;
  }

  /** Counts the control processes that end; each is started again after a short delay. */
  private Map<Integer, Integer> observe() throws IOException {
    Map<Integer, Integer> ends = new TreeMap<>();
    double end = record.seconds() + OBSERVED_SECONDS;
    while (record.seconds() < end) {
      List<Integer> ended = deployment.endedCores();
      for (int core : ended) {
        record.line("the process of core-%d has ended by itself", core);
        ends.merge(core, 1, Integer::sum);
      }
      if (!ended.isEmpty()) {
        Worker.sleep(500);
        deployment.restartEnded();
      }
      Worker.sleep(100);
    }
    return ends;
  }

  private int publishOnce(String manifest) {
    int status = 0;
    for (int i = 1; i <= CORES && status != 200; i++) {
      status = Operator.post(deployment.control(i), "/api/config/put", manifest);
    }
    return status;
  }

  // ------------------------------------------------------------------ workers

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
      Worker.sleep(60);
      record.line("worker %s crashes under %s", worker.id, id);
      worker.crash();
      Worker.thread(() -> restart(worker));
      return false;
    }
    worker.stream(request, out, id.startsWith("slow-") ? SLOW_PAUSE_MILLIS : 20);
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

  // ------------------------------------------------------------------ callers

  private static String hex(String name) {
    return String.format("%08x", name.hashCode());
  }

  private static String blocks() {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < BLOCKS; i++) {
      parts.append(hex("block-" + i)).append(":16,");
    }
    return parts.toString();
  }

  private void sendCrashing(String moreParts, int pauseMillis) {
    int n = NUMBER.incrementAndGet();
    String own = hex("session" + n) + ":60," + hex("last" + n) + ":30";
    calls.execute(
        () -> call(1, "crashing-" + n, "aa01:500," + CRASHING + ":200," + moreParts + own, 9000));
    Worker.sleep(pauseMillis);
  }

  /** Sends sound requests to both front machines all the while. */
  private void sendSoundOften() {
    for (int i = 0; true; i++) {
      int n = NUMBER.incrementAndGet();
      int front = 1 + i % 2;
      String prompt = "aa01:500," + hex("other" + n % 10) + ":400," + hex("last" + n) + ":30";
      calls.execute(() -> call(front, "sound-" + n, prompt, 9000));
      Worker.sleep(250);
    }
  }

  /** Sends a request on the shared context at the second front machine. */
  private void sendSlow() {
    int n = NUMBER.incrementAndGet();
    String prompt = "aa01:500," + hex("county") + ":300," + hex("context") + ":400,";
    calls.execute(
        () -> call(2, "slow-" + n, prompt + hex("last" + n) + ":30", PATIENCE_MILLIS));
  }

  private int call(int front, String id, String prompt, int patienceMillis) {
    String head =
        "POST /draft/x HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Model: m0\r\nX-Token-Usage: 10400,3\r\nX-Prefix-Hash: " + prompt
            + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token " + Operator.KEY
            + "\r\nConnection: close\r\n";
    int status = 0;
    try {
      status =
          Http.call(
                  deployment.front(front),
                  head,
                  "body".getBytes(StandardCharsets.UTF_8),
                  patienceMillis)
              .status();
    } catch (IOException e) {
      // No whole answer.
    }
    record.line("caller: %s, status %d", id, status);
    return status;
  }

  private void awaitServed() throws IOException {
    for (int i = 0; i < 100; i++) {
      if (call(1 + i % 2, "first-" + i, "aa01:500,bb:400," + hex("first" + i) + ":30", 9000) == 200) {
        return;
      }
      Worker.sleep(200);
    }
    throw new IOException("no request is served");
  }
}

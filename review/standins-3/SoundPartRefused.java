import java.io.IOException;
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
 * One part of a prompt crashes each worker that begins to write an answer on it. Callers return to
 * a context ("rules") after a quiet time; the first of them have the crashing part before it. Sound
 * requests have the same caller and the same other parts. Judged: how many of the sound requests
 * begin at the first attempt, from twice contact_ms after the last counted crash on, against the
 * time before.
 */
final class SoundPartRefused {

  private static final long CONTACT_MILLIS = 3000;
  private static final int COUNTED_CRASH = 5;
  private static final int RESTART_MILLIS = 2000;
  private static final int WORKERS = 6;
  private static final String CRASHING = "c0a51e07";

  private record Sound(double sentAt, String id) {}

  private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
  private static final List<String> BEGUN = new CopyOnWriteArrayList<>();
  private static final List<Sound> SOUND = new CopyOnWriteArrayList<>();
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final AtomicInteger STARTS = new AtomicInteger();

  private final Deployment deployment;
  private final Record record;
  private final ExecutorService calls = Executors.newCachedThreadPool();

  private SoundPartRefused(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(5, 2, record)) {
      int exit = new SoundPartRefused(deployment, record).run(isTrouble);
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
    new Operator(deployment.controls(), record)
        .publish(
            Operator.manifest(1, true, Operator.route("draft", "streaming", 8000, 2, true)));
    for (int i = 1; i <= WORKERS; i++) {
      startWorker(deployment.otherHost(i));
    }
    deployment.awaitReady(40);
    awaitServed();
    Worker.sleep(4000);

    // The time before: sound requests on the context, ten seconds long.
    double before = record.seconds();
    repeat(40, 250, n -> sendSound("rules"));
    double beforeEnd = record.seconds();

    // The callers of the context are quiet; others go on.
    repeat(12, 1000, n -> sendSound("other-" + n));

    // They return. The first three have the crashing part; more such requests come all the while.
    record.line("callers return to the context");
    for (int n = 0; n < 3 && isTrouble; n++) {
      sendCrashing();
      Worker.sleep(400);
    }
    Worker.sleep(1500);
    double after = record.seconds();
    repeat(
        100,
        250,
        n -> {
          if (isTrouble && n % 2 == 0) {
            sendCrashing();
          }
          sendSound("rules");
        });
    calls.shutdown();
    calls.awaitTermination(20, TimeUnit.SECONDS);
    return judge(before, beforeEnd, after);
  }

  private int judge(double before, double beforeEnd, double after) {
    double counted =
        CRASHES.isEmpty()
            ? after
            : CRASHES.get(Math.min(COUNTED_CRASH, CRASHES.size()) - 1) + 2 * CONTACT_MILLIS / 1000.0;
    long soundBefore = count(before, beforeEnd, false);
    long begunBefore = count(before, beforeEnd, true);
    long soundAfter = count(counted, Double.MAX_VALUE, false);
    long begunAfter = count(counted, Double.MAX_VALUE, true);
    String result =
        CRASHES.size() + " crashes; sound requests that began: " + begunBefore + " of " + soundBefore
            + " before, " + begunAfter + " of " + soundAfter + " after";
    record.line("%s (counted from %.3f)", result, counted);
    System.out.println(result);
    if (soundBefore < 20 || soundAfter < 20 || begunBefore < 20) {
      return 2;
    }
    return 2.0 * begunAfter / soundAfter < (double) begunBefore / soundBefore ? 1 : 0;
  }

  private static long count(double from, double to, boolean isBegunOnly) {
    return SOUND.stream()
        .filter(sound -> sound.sentAt() >= from && sound.sentAt() <= to)
        .filter(sound -> !isBegunOnly || BEGUN.contains(sound.id()))
        .count();
  }

  // ------------------------------------------------------------------ workers

  private void startWorker(String host) throws IOException {
    String id = "i-" + STARTS.incrementAndGet();
    new Worker(id, host, deployment.workerPort(), true, this::answer)
        .reportTo(deployment.controls());
    record.line("worker %s starts at %s", id, host);
  }

  private boolean answer(Worker worker, Http.Message request, java.io.OutputStream out)
      throws IOException {
    if (!request.firstLine().startsWith("POST /draft/")) {
      worker.succeed(request, out, "{}".getBytes(StandardCharsets.UTF_8));
      return true;
    }
    String id = request.header("X-Request-Id");
    record.line("worker %s gets %s", worker.id, id);
    if (request.header("X-Prefix-Hash").contains(CRASHING + ":")) {
      Worker.sleep(60);
      CRASHES.add(record.seconds());
      record.line("worker %s crashes under %s", worker.id, id);
      worker.crash();
      Worker.thread(() -> restart(worker));
      return false;
    }
    BEGUN.add(id);
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

  // ------------------------------------------------------------------ callers

  private interface Step {
    void run(int n);
  }

  private static void repeat(int times, int pauseMillis, Step step) {
    for (int n = 0; n < times; n++) {
      step.run(n);
      Worker.sleep(pauseMillis);
    }
  }

  /** Sends a request whose first part all requests share; contexts are named by their second. */
  private void sendSound(String context) {
    int n = NUMBER.incrementAndGet();
    String id = "sound-" + n;
    SOUND.add(new Sound(record.seconds(), id));
    calls.execute(() -> send(n, id, "aa01:500," + hex(context) + ":400," + hex("last" + n) + ":30"));
  }

  private void sendCrashing() {
    int n = NUMBER.incrementAndGet();
    String own = hex("session" + n) + ":60," + hex("last" + n) + ":30";
    calls.execute(
        () ->
            send(n, "crashing-" + n, "aa01:500," + CRASHING + ":200," + hex("rules") + ":400," + own));
  }

  private static String hex(String name) {
    return String.format("%08x", name.hashCode());
  }

  private int send(int n, String id, String prompt) {
    int front = 1 + n % 2;
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
      if (send(n, "first-" + n, "aa01:500,bb:400," + hex("last" + n) + ":30") == 200) {
        return;
      }
      Worker.sleep(200);
    }
    throw new IOException("no request is served");
  }
}

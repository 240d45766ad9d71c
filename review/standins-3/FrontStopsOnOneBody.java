import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * One worker's answer has a wrong body: 480 KB of status lines, within a correct frame. Callers of
 * another route of the same front machine go on all the while; their answers take 20 ms at the
 * workers. Judged: of the callers' requests that have no answer at their route's timeout, how many
 * have none half a second later.
 */
final class FrontStopsOnOneBody {

  private static final int TIMEOUT_MILLIS = 1000;
  private static final int LATE_MILLIS = 500;

  /** Time that a caller of the quick route waits; longer than the route's timeout. */
  private static final int DEADLINE_MILLIS = 3000;

  private static final int BODY_BYTES = 480 * 1024;
  private static final int CALLERS = 12;

  private record Outcome(double sentAt, long millis, int status) {}

  private FrontStopsOnOneBody() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(5, 2, record)) {
      int exit = run(deployment, record, isTrouble);
      record.line("exit %d", exit);
      deployment.close();
      System.exit(exit);
    } catch (IOException | InterruptedException e) {
      System.err.println("the case could not run: " + e);
      System.exit(2);
    }
  }

  private static int run(Deployment deployment, Record record, boolean isTrouble)
      throws IOException, InterruptedException {
    deployment.start(Map.of());
    new Operator(deployment.controls(), record)
        .publish(
            Operator.manifest(
                1,
                false,
                Operator.route("quick", "unsafe", TIMEOUT_MILLIS, 1, false),
                Operator.route("history", "safe", 8000, 1, false)));
    for (int i = 1; i <= 3; i++) {
      new Worker(
              "i-" + i,
              deployment.otherHost(i),
              deployment.workerPort(),
              false,
              (worker, request, out) -> {
                record.line("worker %s runs %s", worker.id, request.header("X-Request-Id"));
                boolean isLong = request.firstLine().contains("/history/");
                Worker.sleep(20);
                worker.succeed(
                    request, out, isLong ? body(isTrouble) : "quick".getBytes(StandardCharsets.UTF_8));
                return true;
              })
          .reportTo(deployment.controls());
    }
    deployment.awaitReady(40);
    awaitServed(deployment);
    Worker.sleep(4000);

    List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    double end = record.seconds() + 25;
    for (int i = 0; i < CALLERS; i++) {
      String name = "q" + i;
      callers.execute(() -> call(deployment, record, name, end, outcomes));
    }
    callers.execute(() -> watchReady(deployment, record, end));
    Worker.sleep(5000);
    callers.execute(
        () -> record.line("the long answer: status %d", send(deployment, "history", "long", 8000)));
    callers.shutdown();
    callers.awaitTermination(60, TimeUnit.SECONDS);

    List<Outcome> unanswered = new ArrayList<>();
    long late = 0;
    for (Outcome outcome : outcomes) {
      if (outcome.millis() >= TIMEOUT_MILLIS) {
        unanswered.add(outcome);
        late += outcome.millis() > TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0;
      }
    }
    record.line(
        "%d requests; %d without an answer at their timeout, %d of them without one %d ms later",
        outcomes.size(), unanswered.size(), late, LATE_MILLIS);
    System.out.println(unanswered.size() + " unanswered at timeout, " + late + " half a second later");
    return late >= 8 && 2 * late > unanswered.size() ? 1 : 0;
  }

  private static byte[] body(boolean isTrouble) {
    String unit = isTrouble ? "HTTP/1.1 200 OK\r\n" : "a booking of today\r\n";
    return unit.repeat(BODY_BYTES / unit.length()).getBytes(StandardCharsets.US_ASCII);
  }

  private static void awaitServed(Deployment deployment) throws IOException {
    for (int i = 0; i < 100; i++) {
      if (send(deployment, "quick", "first-" + i, DEADLINE_MILLIS) == 200) {
        return;
      }
      Worker.sleep(200);
    }
    throw new IOException("no request is served");
  }

  private static void call(
      Deployment deployment, Record record, String name, double end, List<Outcome> outcomes) {
    for (int n = 0; record.seconds() < end; n++) {
      String id = name + "-" + n;
      double sentAt = record.seconds();
      int status = send(deployment, "quick", id, DEADLINE_MILLIS);
      long millis = Math.round((record.seconds() - sentAt) * 1000);
      outcomes.add(new Outcome(sentAt, millis, status));
      record.line("caller: %s sent at %.3f, status %d after %d ms", id, sentAt, status, millis);
      Worker.sleep(100);
    }
  }

  /** Records, as the provider asks once a second, whether the front machine says it is ready. */
  private static void watchReady(Deployment deployment, Record record, double end) {
    while (record.seconds() < end) {
      record.line("front-1 is %s", deployment.isReady(1) ? "ready" : "not ready or silent");
      Worker.sleep(1000);
    }
  }

  /** Returns the status; 0 if there is no whole answer by the deadline. */
  private static int send(Deployment deployment, String route, String id, int deadlineMillis) {
    String head =
        "POST /" + route + "/x HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + deadlineMillis
            + "\r\nAuthorization: Token " + Operator.KEY + "\r\nConnection: close\r\n";
    try {
      return Http.call(
              deployment.front(1), head, "body".getBytes(StandardCharsets.UTF_8), deadlineMillis)
          .status();
    } catch (IOException e) {
      return 0;
    }
  }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * One control machine is cut off from the other control machines for 5.5 s. A worker that starts
 * meanwhile reports to it, is acknowledged, and says at another control machine that it leaves,
 * which acknowledges that too. Judged: requests that reach the worker later than drain_ms after
 * that, sent while all machines are in touch.
 */
final class LeaverTakenBack {

  private static final double CONTACT = 3.0;
  private static final double DRAIN = 2.0;
  private static final double CUT = 5.5;
  private static final double LEAVES_AT = 4.3;

  private LeaverTakenBack() {}

  private static volatile String cutHost = "";

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
    Map<String, String> options = new HashMap<>();
    for (int i = 1; i <= 5; i++) {
      String from = deployment.coreHost(i);
      CutProxy proxy =
          new CutProxy(to -> !to.equals(from) && (to.equals(cutHost) || from.equals(cutHost)));
      options.put(from, proxy.jvmOptions());
    }
    deployment.start(options);
    new Operator(deployment.controls(), record)
        .publish(Operator.manifest(1, false, Operator.route("quick", "unsafe", 1000, 1, false)));
    List<Double> arrivals = new CopyOnWriteArrayList<>();
    Worker.Script script =
        (worker, request, out) -> {
          record.line("worker %s gets %s", worker.id, request.header("X-Request-Id"));
          if (worker.id.equals("i-new") && request.firstLine().contains("/quick/")) {
            arrivals.add(record.seconds());
          }
          Worker.sleep(20);
          worker.succeed(request, out, "done".getBytes(StandardCharsets.UTF_8));
          return true;
        };
    for (int i = 1; i <= 3; i++) {
      new Worker("i-" + i, deployment.otherHost(i), deployment.workerPort(), false, script)
          .reportTo(deployment.controls());
    }
    deployment.awaitReady(40);
    for (int n = 0; send(deployment, record, 1, "first-" + n) != 200; n++) {
      if (n == 100) {
        throw new IOException("no request is served");
      }
      Worker.sleep(200);
    }
    Worker.sleep(6000);

    int cut = deployment.logLines("core-1", "role=LEADER").isEmpty() ? 1 : 2;
    int other = 3 - cut;
    ExecutorService callers = Executors.newFixedThreadPool(4);
    double begun = record.seconds();
    double end = begun + 16;
    for (int i = 0; i < 4; i++) {
      int caller = i;
      callers.execute(
          () -> {
            for (int n = 0; record.seconds() < end; n++) {
              send(deployment, record, 1 + caller % 2, "q" + caller + "-" + n);
              Worker.sleep(60);
            }
          });
    }
    if (isTrouble) {
      cutHost = deployment.coreHost(cut);
      record.line("core-%d is cut off from the other control machines", cut);
    }
    sleepUntil(record, begun + 0.3);
    Worker leaving =
        new Worker("i-new", deployment.otherHost(9), deployment.workerPort(), false, script);
    while (record.seconds() < begun + LEAVES_AT - 0.2) {
      int status = leaving.report(deployment.control(cut));
      record.line("worker i-new reports to core-%d: %d", cut, status);
      sleepUntil(record, Math.min(record.seconds() + 1.2, begun + LEAVES_AT));
    }
    sleepUntil(record, begun + LEAVES_AT);
    int left = 0;
    for (int tries = 0; tries < 3 && left != 200; tries++) {
      left = leaving.deregister(deployment.control(other));
      record.line("worker i-new says at core-%d that it leaves: %d", other, left);
    }
    double acknowledged = record.seconds();
    sleepUntil(record, begun + CUT);
    if (isTrouble) {
      cutHost = "";
      record.line("the cut heals");
    }
    callers.shutdown();
    callers.awaitTermination(30, TimeUnit.SECONDS);
    double inTouch = begun + CUT + CONTACT;
    double from = Math.max(acknowledged + DRAIN, inTouch);
    long late = arrivals.stream().filter(at -> at > from).count();
    long outOfTouch =
        arrivals.stream().filter(at -> at > acknowledged + DRAIN && at <= from).count();
    String result =
        late + " requests reached the worker over 2 s after its leave was acknowledged, in touch; "
            + outOfTouch + " more while out of touch";
    record.line("%s (counted from %.3f)", result, from);
    System.out.println(result);
    if (left != 200) {
      return 2;
    }
    return late > 0 ? 1 : 0;
  }

  private static void sleepUntil(Record record, double time) {
    Worker.sleep(Math.max(0, Math.round((time - record.seconds()) * 1000)));
  }

  private static int send(Deployment deployment, Record record, int front, String id) {
    String head =
        "POST /quick/x HTTP/1.1\r\nHost: " + Operator.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token " + Operator.KEY
            + "\r\nConnection: close\r\n";
    int status = 0;
    try {
      status =
          Http.call(deployment.front(front), head, "body".getBytes(StandardCharsets.UTF_8), 2000)
              .status();
    } catch (IOException e) {
      // No whole answer.
    }
    record.line("caller: %s at front-%d, status %d", id, front, status);
    return status;
  }
}

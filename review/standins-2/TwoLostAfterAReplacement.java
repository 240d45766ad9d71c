import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned replacement of a core machine; a second after it two others lose their disks at once.
 * Fails if the confirmed manifest can't be read any more.
 */
public final class TwoLostAfterAReplacement {

  private static final int OK = 200;

  /** After the successor has had {@code catch_up_s}, 4 s. */
  private static final long STOP_MILLIS = 6000;

  private static final long LOSS_MILLIS = 7000;
  private static final long BACK_MILLIS = 9000;
  private static final Duration START = Duration.ofSeconds(20);

  /** Longer than {@code recovery_s}, 12 s. */
  private static final Duration READ_BACK = Duration.ofSeconds(40);

  private static final Duration CHANGE = Duration.ofSeconds(8);

  private TwoLostAfterAReplacement() {}

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Record record = Record.create(Path.of(args[0]));
    int status = 2;
    try (Deployment deployment = Deployment.create(record)) {
      status = run(deployment, new Operator(deployment, record), record, isTrouble);
    } catch (Exception e) {
      record.add("could not run: %s", e);
    }
    System.exit(status);
  }

  private static int run(
      Deployment deployment, Operator operator, Record record, boolean isTrouble)
      throws Exception {
    List<Node> cores = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      cores.add(deployment.add(number, true));
    }
    for (Node core : cores) {
      core.start(true);
    }
    String manifest = Manifests.plain(deployment, 7);
    if (!operator.confirm(cores, "/api/config/put", manifest, START)) {
      return 2;
    }
    Thread.sleep(8000);
    if (isTrouble) {
      replaceAndLose(deployment, cores, record);
    }
    Thread.sleep(4000);
    Duration end = record.elapsed().plus(READ_BACK);
    while (record.elapsed().compareTo(end) < 0) {
      for (Node node : running(deployment)) {
        Operator.Answer answer = operator.get(node, "/api/config/get");
        record.add("GET /api/config/get at %s: %d", node.name, answer.status);
        if (answer.status == OK) {
          boolean isSame = answer.body.equals(manifest);
          record.add(isSame ? "the manifest was read back" : "another manifest was read back");
          return isSame ? 0 : 1;
        }
      }
      Thread.sleep(500);
    }
    record.add("the confirmed manifest did not come back");
    operator.confirm(
        running(deployment), "/api/config/put", Manifests.plain(deployment, 8), CHANGE);
    return 1;
  }

  private static List<Node> running(Deployment deployment) {
    return deployment.nodes.stream().filter(Node::isAlive).toList();
  }

  /** The successor comes first and has its time; only then the old machine is stopped. */
  private static void replaceAndLose(Deployment deployment, List<Node> cores, Record record)
      throws Exception {
    Node leader = deployment.leader();
    List<Node> others = new ArrayList<>(cores);
    others.remove(leader);
    Node removed = others.remove(others.size() - 1);
    long begun = System.nanoTime();
    deployment.add(6, true).start(false);
    sleepUntil(begun, STOP_MILLIS);
    removed.terminate();
    sleepUntil(begun, LOSS_MILLIS);
    List<Node> lost = List.of(leader, others.get(0));
    for (Node node : lost) {
      node.kill();
    }
    for (Node node : lost) {
      node.loseDisk();
    }
    sleepUntil(begun, BACK_MILLIS);
    for (Node node : lost) {
      node.start(false);
    }
  }

  private static void sleepUntil(long begunNanos, long millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - begunNanos) / 1_000_000;
    if (left > 0) {
      Thread.sleep(left);
    }
  }
}

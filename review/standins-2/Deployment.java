import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The machines of a small deployment on loopback addresses, with the bounds of wanjiru-quotes. The
 * commands are those of the deploy file, the settings are rendered from its template.
 */
final class Deployment implements AutoCloseable {

  /** {@code bounds} of wanjiru-quotes, as far as the template uses them. */
  private static final Map<String, String> BOUNDS =
      Map.of(
          "bounds.retry_budget_ratio", "0.2",
          "bounds.budget_slack", "52",
          "bounds.version_ms", "6000",
          "bounds.version_all_ms", "8400",
          "bounds.grace_s", "8",
          "fault_tolerance.machines", "2");

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");
  private static final Pattern LEADER_LINE =
      Pattern.compile("event=replica-role .*role=LEADER term=(\\d+)");
  private static final int SEEDS = 3;
  private static final List<String> ZONES = List.of("nbi-a", "nbi-b", "nbi-c");

  final Path root;
  final Path folder;
  final List<Node> nodes = new CopyOnWriteArrayList<>();
  private final Record record;
  private final String block;
  private final int port;
  private final Map<Boolean, List<String>> commands = new HashMap<>();

  private Deployment(Path root, Path folder, Record record) throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    this.block =
        "127."
            + ThreadLocalRandom.current().nextInt(10, 250)
            + "."
            + ThreadLocalRandom.current().nextInt(1, 250)
            + ".";
    this.port = freePort();
    String deployFile = Files.readString(root.resolve("deploy/system.toml"));
    commands.put(true, run(deployFile, "control"));
    commands.put(false, run(deployFile, "entry"));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::destroy)));
  }

  static Deployment create(Record record) throws IOException {
    Path root = Path.of("").toAbsolutePath();
    return new Deployment(root, Files.createTempDirectory("review-"), record);
  }

  private static List<String> run(String deployFile, String role) {
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(deployFile);
    if (!run.find()) {
      throw new IllegalStateException("no command for " + role);
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  /** Returns the first of some ports below the range that outgoing connections take. */
  private int freePort() throws IOException {
    while (true) {
      int first = ThreadLocalRandom.current().nextInt(20_000, 29_000);
      if (isFree(first) && isFree(first + 1) && isFree(first + 2) && isFree(first + 3)) {
        return first;
      }
    }
  }

  private boolean isFree(int candidate) {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress(InetAddress.getByName(block + "1"), candidate));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Adds a machine; its number decides on its address and its zone. */
  Node add(int number, boolean isCore) {
    String zone = ZONES.get(number % ZONES.size());
    String name = (isCore ? "core-" : "front-") + number;
    Node node = new Node(this, name, block + number, zone, isCore, record);
    nodes.add(node);
    return node;
  }

  List<String> command(boolean isCore) {
    return commands.get(isCore);
  }

  String address(int lastByte, int offset) {
    return block + lastByte + ":" + (port + offset);
  }

  String ip(int lastByte) {
    return block + lastByte;
  }

  String control(Node node) {
    return node.ip + ":" + (port + 3);
  }

  String front(Node node) {
    return node.ip + ":" + (port + 1);
  }

  String ready(Node node) {
    return node.ip + ":" + (port + 2);
  }

  String settings(Node node, boolean isBootstrap) throws IOException {
    Map<String, String> fields = new HashMap<>(BOUNDS);
    fields.put("node_name", node.name);
    fields.put("zone", node.zone);
    fields.put("region", "nairobi");
    fields.put("ip", node.ip);
    fields.put("bootstrap", String.valueOf(isBootstrap));
    fields.put("internal_ports.0", String.valueOf(port));
    List<String> seeds = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      seeds.add(block + seed + ":" + (port + 3));
    }
    fields.put("seeds", String.join(",", seeds));
    if (node.isCore) {
      fields.put("data_dir", node.dataFolder().toString());
      fields.put("listen.control", control(node));
    } else {
      fields.put("listen.front", front(node));
      fields.put("listen.ready_addr", ready(node));
    }
    Matcher placeholder =
        PLACEHOLDER.matcher(Files.readString(root.resolve("deploy/node.ini")));
    return placeholder.replaceAll(
        found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
  }

  /** Returns the core machine that took the lead last, by the logs of the processes that run. */
  Node leader() throws IOException {
    Node newest = null;
    long newestTerm = 0;
    for (Node node : nodes) {
      if (!node.isCore || !node.isAlive()) {
        continue;
      }
      Matcher line = LEADER_LINE.matcher(Files.readString(node.log()));
      while (line.find()) {
        long term = Long.parseLong(line.group(1));
        if (term > newestTerm) {
          newestTerm = term;
          newest = node;
        }
      }
    }
    if (newest == null) {
      throw new IllegalStateException("no leader is known");
    }
    return newest;
  }

  static void deleteAll(Path path) throws IOException {
    if (!Files.exists(path)) {
      return;
    }
    try (Stream<Path> all = Files.walk(path)) {
      for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Node node : nodes) {
      node.close();
    }
    if (System.getenv("KEEP_LOGS") == null) {
      deleteAll(folder);
    } else {
      System.out.println("logs: " + folder);
    }
  }
}

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs, as the deploy file starts them: control processes on machines of the
 * class core and entry processes on machines of the class front. Each machine is a loopback
 * address; ports are the same on all. Settings are rendered from the template of the deploy file.
 */
final class Deployment implements AutoCloseable {

  private static final Path ROOT = Path.of("").toAbsolutePath();
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}");
  private static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

  private final Path folder = Files.createTempDirectory("review-3-");
  private final String block;
  private final int port;
  private final int cores;
  private final int fronts;
  private final Record record;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  Deployment(int cores, int fronts, Record record) throws IOException {
    this.cores = cores;
    this.fronts = fronts;
    this.record = record;
    ThreadLocalRandom random = ThreadLocalRandom.current();
    block = "127." + random.nextInt(30, 250) + "." + random.nextInt(1, 250) + ".";
    port = freePorts(random);
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Returns the first of ten ports that are free, below the range of outgoing connections. */
  private int freePorts(ThreadLocalRandom random) throws IOException {
    for (int tries = 0; tries < 200; tries++) {
      int first = random.nextInt(20_000, 30_000);
      if (isFree(first)) {
        return first;
      }
    }
    throw new IOException("no ports are free");
  }

  private boolean isFree(int first) {
    for (int i = 0; i < 10; i++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(block + "1", first + i));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /** Address of core machine {@code i}, from 1. */
  String coreHost(int i) {
    return block + i;
  }

  /** Address of front machine {@code i}, from 1. */
  String frontHost(int i) {
    return block + (20 + i);
  }

  /** An address for a stand-in. */
  String otherHost(int i) {
    return block + (100 + i);
  }

  String control(int core) {
    return coreHost(core) + ":" + (port + 3);
  }

  String front(int i) {
    return frontHost(i) + ":" + (port + 1);
  }

  String ready(int i) {
    return frontHost(i) + ":" + (port + 2);
  }

  int workerPort() {
    return port + 5;
  }

  List<String> controls() {
    List<String> all = new ArrayList<>();
    for (int i = 1; i <= cores; i++) {
      all.add(control(i));
    }
    return all;
  }

  /** Starts all machines; options of the JVM are by the address of a machine. */
  void start(Map<String, String> jvmOptions) throws IOException {
    for (int i = 1; i <= cores; i++) {
      start("core-" + i, coreHost(i), "control", true, i, jvmOptions);
    }
    for (int i = 1; i <= fronts; i++) {
      start("front-" + i, frontHost(i), "entry", false, i, jvmOptions);
    }
  }

  private void start(
      String name, String host, String role, boolean isCore, int number, Map<String, String> options)
      throws IOException {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node_name", name);
    values.put("zone", ZONES[number % ZONES.length]);
    values.put("region", "region-1");
    values.put("ip", host);
    values.put("internal_ports.0", String.valueOf(port));
    List<String> seeds = new ArrayList<>();
    for (int i = 1; i <= Math.min(3, cores); i++) {
      seeds.add(coreHost(i) + ":" + port);
    }
    values.put("seeds", String.join(",", seeds));
    values.put("bootstrap", "true");
    values.put("fault_tolerance.machines", "2");
    values.put("bounds.retry_budget_ratio", "0.2");
    values.put("bounds.budget_slack", "52");
    values.put("bounds.version_ms", "6000");
    values.put("bounds.version_all_ms", "8400");
    values.put("bounds.grace_s", "8");
    if (isCore) {
      Path data = Files.createDirectories(folder.resolve(name + "-data"));
      values.put("data_dir", data.toString());
      values.put("listen.control", host + ":" + (port + 3));
    } else {
      values.put("listen.front", host + ":" + (port + 1));
      values.put("listen.ready_addr", host + ":" + (port + 2));
    }
    Path settings = folder.resolve(name + ".ini");
    Files.writeString(settings, render(Files.readString(ROOT.resolve(template(role))), values));
    ProcessBuilder builder = new ProcessBuilder(command(role));
    builder.directory(ROOT.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("GERANIUMWHARF_BOOT", settings.toString());
    if (options.containsKey(host)) {
      builder.environment().put("JAVA_TOOL_OPTIONS", options.get(host));
    }
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
    processes.put(host, builder.start());
    record.line("started %s (%s) at %s", name, role, host);
  }

  private static String render(String template, Map<String, String> values) {
    Matcher matcher = PLACEHOLDER.matcher(template);
    return matcher.replaceAll(
        found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
  }

  private static List<String> command(String role) throws IOException {
    return Arrays.asList(field(role, "run").split(" "));
  }

  private static String template(String role) throws IOException {
    return field(role, "template");
  }

  /** Returns a field of a role of the deploy file. */
  private static String field(String role, String name) throws IOException {
    boolean isInRole = false;
    for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        isInRole = line.strip().equals("[roles." + role + "]");
      } else if (isInRole && line.startsWith(name + " = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no " + name + " of " + role);
  }

  /** Starts the control processes that have ended again, with their disks, as the provider does. */
  void restartEnded() throws IOException {
    for (int core : endedCores()) {
      start("core-" + core, coreHost(core), "control", true, core, Map.of());
    }
  }

  /** Returns the numbers of the control machines whose process has ended. */
  List<Integer> endedCores() {
    List<Integer> ended = new ArrayList<>();
    for (int i = 1; i <= cores; i++) {
      if (!processes.get(coreHost(i)).isAlive()) {
        ended.add(i);
      }
    }
    return ended;
  }

  /** Waits until every front machine says that it is ready. */
  void awaitReady(int seconds) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int i = 1; i <= fronts; i++) {
      while (!isReady(i)) {
        if (System.nanoTime() > end) {
          throw new IOException("front-" + i + " is not ready in time");
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
    record.line("every front machine is ready");
  }

  boolean isReady(int front) {
    try {
      String head = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
      return Http.call(ready(front), head, new byte[0], 1000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether all processes still run. */
  boolean isAllRunning() {
    return processes.values().stream().allMatch(Process::isAlive);
  }

  /** Returns the lines of a machine's log that contain a text. */
  List<String> logLines(String name, String text) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private void killAll() {
    processes.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Process process : processes.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}

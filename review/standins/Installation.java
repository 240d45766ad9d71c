package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A stand-in of the platform. It starts the programs of the deploy file, each at a loopback address
 * of its own, with settings rendered from the template of the deploy file, and starts a process
 * that ends again after a short delay, as {@code DEPLOY.md} says.
 */
final class Installation implements AutoCloseable {

  static final int CORE_MACHINES = 5;
  private static final int SEEDS = 3;
  private static final long RESTART_DELAY_MILLIS = 500;
  private static final List<String> ZONES = List.of("nbi-a", "nbi-b", "nbi-c");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");
  private static final Pattern ROLE = Pattern.compile("\\[roles\\.([a-z]+)]");

  private final Record record;
  private final Path folder;
  private final String template;
  private final Map<String, List<String>> commands = new HashMap<>();
  private final List<Machine> core = new ArrayList<>();
  private final List<Machine> fronts = new ArrayList<>();
  private final int peerPort;
  private final int frontPort;
  private final int readyPort;
  private final int controlPort;
  private final String seeds;
  private volatile boolean isClosed;

  private Installation(Record record, int frontCount) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review-");
    this.template = Files.readString(Path.of("deploy/node.ini"));
    readCommands();
    String block =
        "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    List<Integer> ports = freePorts(4);
    peerPort = ports.get(0);
    frontPort = ports.get(1);
    readyPort = ports.get(2);
    controlPort = ports.get(3);
    for (int i = 0; i < CORE_MACHINES; i++) {
      core.add(new Machine("core-" + (i + 1), "control", block + (i + 1), ZONES.get(i % 3)));
    }
    for (int i = 0; i < frontCount; i++) {
      fronts.add(new Machine("front-" + (i + 1), "entry", block + (101 + i), ZONES.get(i % 3)));
    }
    seeds =
        String.join(
            ",", core.subList(0, SEEDS).stream().map(m -> m.ip + ":" + controlPort).toList());
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Starts five core machines and some front machines. */
  static Installation start(Record record, int frontCount) throws IOException {
    Installation installation = new Installation(record, frontCount);
    for (Machine machine : installation.machines()) {
      machine.start(true);
    }
    return installation;
  }

  /** Reads the command of each role of the deploy file. */
  private void readCommands() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      Matcher heading = ROLE.matcher(line.strip());
      if (heading.matches()) {
        role = heading.group(1);
      } else if (line.startsWith("run = ")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        commands.put(role, Arrays.asList(command.split(" ")));
      }
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
      try (ServerSocket probe = new ServerSocket(port)) {
        if (!ports.contains(port)) {
          ports.add(probe.getLocalPort());
        }
      } catch (IOException e) {
        // Taken; the next one is tried.
      }
    }
    return ports;
  }

  private List<Machine> machines() {
    return Stream.concat(core.stream(), fronts.stream()).toList();
  }

  List<Machine> core() {
    return core;
  }

  Machine front(int index) {
    return fronts.get(index);
  }

  /** Returns whether every front machine answers the readiness question with 200. */
  boolean isReady() {
    return fronts.stream().allMatch(Machine::isReady);
  }

  /** One machine with one role. */
  final class Machine {

    private final String name;
    private final String role;
    private final String ip;
    private final String zone;
    private Process process;
    private int exits;

    private Machine(String name, String role, String ip, String zone) {
      this.name = name;
      this.role = role;
      this.ip = ip;
      this.zone = zone;
    }

    String name() {
      return name;
    }

    InetSocketAddress front() {
      return new InetSocketAddress(ip, frontPort);
    }

    InetSocketAddress control() {
      return new InetSocketAddress(ip, controlPort);
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    /** Returns how often the process ended by itself. */
    synchronized int exits() {
      return exits;
    }

    /** Returns the last line of the process's output that names an error. */
    String lastError() throws IOException {
      try (Stream<String> lines = Files.lines(log())) {
        return lines.filter(line -> line.contains("Error")).reduce((a, b) -> b).orElse("none");
      }
    }

    private boolean isReady() {
      try {
        InetSocketAddress address = new InetSocketAddress(ip, readyPort);
        return Http.call(address, "GET", "/api/readyz", Map.of("Host", ip), new byte[0], 1000)
                .status()
            == 200;
      } catch (IOException e) {
        return false;
      }
    }

    private synchronized void start(boolean isFirst) {
      try {
        Path settings = folder.resolve(name + ".ini");
        Files.writeString(settings, render(isFirst));
        ProcessBuilder builder = new ProcessBuilder(commands.get(role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("GERANIUMWHARF_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        Process started = builder.start();
        process = started;
        record.add("start %s", name);
        var unused = started.onExit().thenAccept(ended -> ended(started));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void ended(Process which) {
      synchronized (this) {
        if (isClosed || process != which) {
          return;
        }
        exits++;
        record.add("%s ended by itself, status %d", name, which.exitValue());
      }
      startLater();
    }

    private void startLater() {
      Thread later =
          new Thread(
              () -> {
                sleep(RESTART_DELAY_MILLIS);
                if (!isClosed) {
                  start(false);
                }
              });
      later.setDaemon(true);
      later.start();
    }

    /** Sends SIGKILL; the platform starts the process again after a short delay. */
    synchronized void kill() {
      Process killed = process;
      process = null;
      record.add("kill %s", name);
      killed.destroyForcibly();
      killed.onExit().join();
      startLater();
    }

    /** Sends SIGSTOP. */
    void freeze() throws IOException, InterruptedException {
      signal("STOP");
      record.add("freeze %s", name);
    }

    /** Sends SIGCONT. */
    void thaw() throws IOException, InterruptedException {
      signal("CONT");
      record.add("thaw %s", name);
    }

    private synchronized void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    private synchronized void end() {
      if (process != null) {
        process.destroyForcibly();
      }
    }

    private String render(boolean isFirst) {
      Map<String, String> values = new HashMap<>();
      boolean isCore = role.equals("control");
      values.put("node_name", name);
      values.put("zone", zone);
      values.put("region", "nairobi");
      values.put("data_dir", isCore ? folder.resolve(name).toString() : "");
      values.put("bootstrap", String.valueOf(isFirst));
      values.put("ip", ip);
      values.put("internal_ports.0", String.valueOf(peerPort));
      values.put("listen.front", isCore ? "" : ip + ":" + frontPort);
      values.put("listen.ready_addr", isCore ? "" : ip + ":" + readyPort);
      values.put("listen.control", isCore ? ip + ":" + controlPort : "");
      values.put("seeds", seeds);
      values.put("fault_tolerance.machines", "2");
      values.put("bounds.retry_budget_ratio", "0.2");
      values.put("bounds.budget_slack", "52");
      values.put("bounds.grace_s", "8");
      values.put("bounds.version_ms", "6000");
      values.put("bounds.version_all_ms", "8400");
      values.put("bounds.evacuate_ms", "5000");
      values.put("bounds.cold_overage", "1.5");
      values.put("bounds.cold_slack", "5");
      return PLACEHOLDER
          .matcher(template)
          .replaceAll(match -> Matcher.quoteReplacement(values.get(match.group(1))));
    }
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends all processes and removes their files. */
  @Override
  public synchronized void close() {
    if (isClosed) {
      return;
    }
    isClosed = true;
    machines().forEach(Machine::end);
    if (System.getenv("KEEP_FILES") != null) {
      System.err.println("files: " + folder);
      return;
    }
    sleep(300);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(Installation::delete);
    } catch (IOException | UncheckedIOException e) {
      record.add("the temporary folder was not removed: " + e.getMessage());
    }
  }

  private static void delete(Path path) {
    try {
      Files.delete(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}

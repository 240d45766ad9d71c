import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A machine of the system with one process on it, which is started by the deploy file's command. */
final class Node {

  private static final List<String> INHERITED = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  final String name;
  final String ip;
  final String zone;
  final boolean isCore;
  private final Deployment deployment;
  private final Record record;
  private Process process;

  Node(Deployment deployment, String name, String ip, String zone, boolean isCore, Record record) {
    this.deployment = deployment;
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.isCore = isCore;
    this.record = record;
  }

  Path dataFolder() {
    return deployment.folder.resolve("data-" + name);
  }

  Path log() {
    return deployment.folder.resolve(name + ".log");
  }

  /** Starts the process; a machine with an empty disk gets an empty data folder. */
  void start(boolean isBootstrap) throws IOException {
    if (isCore) {
      Files.createDirectories(dataFolder());
    }
    Path settings = deployment.folder.resolve(name + ".ini");
    Files.writeString(settings, deployment.settings(this, isBootstrap));
    ProcessBuilder builder =
        new ProcessBuilder(deployment.command(isCore)).directory(deployment.root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(INHERITED);
    environment.put("GERANIUMWHARF_BOOT", settings.toAbsolutePath().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process = builder.start();
    record.add("%s at %s started, bootstrap %s", name, ip, isBootstrap);
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
    record.add("%s got SIGTERM", name);
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
    record.add("%s was killed", name);
  }

  void signal(String signal) throws IOException, InterruptedException {
    Process sender =
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start();
    sender.waitFor(10, TimeUnit.SECONDS);
    record.add("%s got SIG%s", name, signal);
  }

  /** Removes the files of a process that has ended, as after the loss of a disk. */
  void loseDisk() throws IOException {
    if (isAlive()) {
      throw new IllegalStateException(name + " runs");
    }
    Deployment.deleteAll(dataFolder());
    record.add("%s lost its disk", name);
  }

  /** Sends SIGKILL if the process runs. */
  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Ends the process for good. */
  void close() throws InterruptedException {
    destroy();
    if (process != null) {
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }
}

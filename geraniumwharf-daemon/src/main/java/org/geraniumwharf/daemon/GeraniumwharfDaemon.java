package org.geraniumwharf.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.geraniumwharf.control.ControlException;
import org.geraniumwharf.internal.daemon.DaemonModule;
import org.geraniumwharf.internal.daemon.DaemonRuntime;
import org.geraniumwharf.internal.daemon.DaggerDaemonComponent;
import org.geraniumwharf.internal.daemon.ProcessEnd;
import org.geraniumwharf.internal.daemon.TerminationSignals;
import org.geraniumwharf.internal.logging.EventHistory;
import org.geraniumwharf.internal.logging.Log4jEventLog;
import org.geraniumwharf.internal.settings.InvalidSettingsException;
import org.geraniumwharf.internal.settings.SettingsLoader;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.schema.settings.DaemonSettings;
import org.geraniumwharf.time.MonotonicClock;

/**
 * The program {@code geraniumwharfd}.
 *
 * <pre>{@code
 * geraniumwharfd --settings /etc/geraniumwharf/daemon.ini
 * }</pre>
 *
 * <p>Exit status: 0 after a graceful shutdown that cut nothing, 1 when it cannot start or a
 * shutdown cut requests, 2 for a wrong command line or settings.
 */
public final class GeraniumwharfDaemon {

  private static final int SUCCESS = 0;
  private static final int FAILURE = 1;
  private static final int WRONG_INPUT = 2;
  private static final Options OPTIONS =
      new Options()
          .addOption(
              Option.builder("s")
                  .longOpt("settings")
                  .hasArg()
                  .argName("FILE")
                  .desc("settings file, INI")
                  .get())
          .addOption("c", "check", false, "check the settings and exit")
          .addOption("v", "version", false, "print the version and exit")
          .addOption("h", "help", false, "print this help and exit");

  private GeraniumwharfDaemon() {}

  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /** Runs the program and returns its exit status. */
  static int run(String[] args, PrintStream output, PrintStream errors) {
    try {
      CommandLine line = new DefaultParser().parse(OPTIONS, args);
      if (line.hasOption("help")) {
        printHelp(output);
        return SUCCESS;
      }
      if (line.hasOption("version")) {
        output.println("geraniumwharfd " + version());
        return SUCCESS;
      }
      if (!line.hasOption("settings") || !line.getArgList().isEmpty()) {
        errors.println("usage: geraniumwharfd --settings FILE [--check]");
        return WRONG_INPUT;
      }
      DaemonSettings settings = SettingsLoader.load(Path.of(line.getOptionValue("settings")));
      if (line.hasOption("check")) {
        output.println("settings are valid");
        return SUCCESS;
      }
      MonotonicClock clock = MonotonicClock.create();
      return serve(settings, EventHistory.before(Log4jEventLog.create(), clock), clock);
    } catch (ParseException e) {
      errors.println("geraniumwharfd: " + e.getMessage());
      return WRONG_INPUT;
    } catch (InvalidSettingsException e) {
      e.faults().forEach(fault -> errors.println("geraniumwharfd: " + fault));
      return WRONG_INPUT;
    }
  }

  private static int serve(DaemonSettings settings, EventHistory log, MonotonicClock clock) {
    try {
      DaemonRuntime runtime =
          DaggerDaemonComponent.builder()
              .daemonModule(DaemonModule.of(settings, log, clock))
              .build()
              .runtime();
      CountDownLatch stop = new CountDownLatch(1);
      AtomicInteger signals = new AtomicInteger();
      TerminationSignals.handle(
          () -> {
            if (signals.incrementAndGet() > 1) {
              runtime.hurry();
            }
            stop.countDown();
          });
      var unused = runtime.failure().thenAccept(ProcessEnd::afterFailure);
      runtime.start();
      stop.await();
      return runtime.shutdown() == 0 ? SUCCESS : FAILURE;
    } catch (IOException | UncheckedIOException | ControlException e) {
      log.warn(Event.of("start-failed").with("cause", e.getMessage()));
      return FAILURE;
    } catch (ReflectiveOperationException | RuntimeException e) {
      log.warn(Event.of("start-failed").with("cause", e));
      return FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILURE;
    }
  }

  private static void printHelp(PrintStream output) {
    try {
      HelpFormatter.builder()
          .get()
          .printHelp(
              "geraniumwharfd", "Serves prompts and holds control state.", OPTIONS, "", true);
    } catch (IOException e) {
      output.println("usage: geraniumwharfd --settings FILE [--check] [--version] [--help]");
    }
  }

  private static String version() {
    String version = GeraniumwharfDaemon.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}

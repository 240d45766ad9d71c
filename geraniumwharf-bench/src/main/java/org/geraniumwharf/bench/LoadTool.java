package org.geraniumwharf.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.geraniumwharf.internal.bench.ControlMeasurements;
import org.geraniumwharf.internal.bench.Experiments;
import org.geraniumwharf.internal.bench.ReplayMeasurements;

/**
 * The program behind {@code scripts/bench}.
 *
 * <pre>{@code
 * load-tool run --workload crest --policy estimated-time --fleet DIR/fleet.env --results FILE
 * load-tool report --results FILE
 * load-tool control --fleet DIR/fleet.env
 * load-tool targets|organisations --fleet DIR/fleet.env --count N
 * load-tool replay
 * }</pre>
 */
public final class LoadTool {

  private static final int WRONG_INPUT = 2;
  private static final int FAILURE = 1;
  private static final Options OPTIONS =
      new Options()
          .addOption(null, "workload", true, "workload to run")
          .addOption(null, "policy", true, "routing policy that the fleet was started with")
          .addOption(null, "fleet", true, "fleet.env of the fleet")
          .addOption(null, "count", true, "how many targets or organisations")
          .addOption(null, "results", true, "file of results");

  private LoadTool() {}

  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream output, PrintStream errors) {
    try {
      CommandLine line = new DefaultParser().parse(OPTIONS, args);
      runCommand(line, output);
      return 0;
    } catch (ParseException | IllegalArgumentException e) {
      errors.println("load-tool: " + e.getMessage());
      return WRONG_INPUT;
    } catch (IOException e) {
      errors.println("load-tool: " + e);
      return FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILURE;
    }
  }

  private static void runCommand(CommandLine line, PrintStream output)
      throws ParseException, IOException, InterruptedException {
    switch (line.getArgList().isEmpty() ? "" : line.getArgList().get(0)) {
      case "run" ->
          Experiments.run(
              required(line, "workload"),
              required(line, "policy"),
              path(line, "fleet"),
              path(line, "results"));
      case "report" -> output.print(Experiments.report(path(line, "results")));
      case "control" -> output.print(ControlMeasurements.ofFleet(path(line, "fleet")));
      case "targets" ->
          output.print(ControlMeasurements.ofTargets(path(line, "fleet"), count(line)));
      case "organisations" ->
          output.print(ControlMeasurements.ofOrganisations(path(line, "fleet"), count(line)));
      case "replay" -> output.print(ReplayMeasurements.run());
      default -> throw new ParseException("unknown command");
    }
  }

  private static Path path(CommandLine line, String option) throws ParseException {
    return Path.of(required(line, option));
  }

  private static int count(CommandLine line) throws ParseException {
    return Integer.parseInt(required(line, "count"));
  }

  private static String required(CommandLine line, String option) throws ParseException {
    if (!line.hasOption(option)) {
      throw new ParseException("--" + option + " is needed");
    }
    return line.getOptionValue(option);
  }
}

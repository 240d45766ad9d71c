package org.geraniumwharf.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.geraniumwharf.internal.cli.CliCommand;
import org.geraniumwharf.internal.cli.CliException;
import org.geraniumwharf.internal.cli.CommandContext;
import org.geraniumwharf.internal.cli.Commands;
import org.geraniumwharf.internal.cli.ExitStatus;
import org.geraniumwharf.internal.cli.OperatorClient;
import org.geraniumwharf.internal.cli.Output;

/**
 * The program {@code geraniumwharf}.
 *
 * <pre>{@code
 * geraniumwharf publish objects/ --base-version 4 --publish-id roster-42 --wait
 * }</pre>
 *
 * <p>The daemons' operators' edges and the key come from {@code --operator} and {@code --key-file}
 * or from the environment variables {@code GERANIUMWHARF_OPERATOR} and {@code
 * GERANIUMWHARF_OPERATOR_KEY}.
 */
public final class GeraniumwharfCli {

  private static final String ADDRESS_VARIABLE = "GERANIUMWHARF_OPERATOR";
  private static final String KEY_VARIABLE = "GERANIUMWHARF_OPERATOR_KEY";
  private static final Options OPTIONS = options();

  private GeraniumwharfCli() {}

  public static void main(String[] args) {
    System.exit(run(args, System.getenv(), System.out, System.err));
  }

  /** Runs one command and returns its exit status. */
  public static int run(
      String[] args, Map<String, String> environment, PrintStream output, PrintStream errors) {
    try {
      CommandLine line = new DefaultParser().parse(OPTIONS, args);
      if (line.hasOption("help")) {
        printHelp(output);
        return ExitStatus.SUCCESS.code();
      }
      if (line.hasOption("version")) {
        output.println("geraniumwharf " + version());
        return ExitStatus.SUCCESS.code();
      }
      return runCommand(line, environment, output).code();
    } catch (ParseException e) {
      errors.println("geraniumwharf: " + e.getMessage());
      return ExitStatus.USAGE.code();
    } catch (CliException e) {
      errors.println("geraniumwharf: " + e.getMessage());
      return e.status().code();
    }
  }

  private static ExitStatus runCommand(
      CommandLine line, Map<String, String> environment, PrintStream output)
      throws CliException, ParseException {
    List<String> words = line.getArgList();
    String name = words.isEmpty() ? "" : words.get(0);
    Optional<CliCommand> command = Commands.find(name);
    if (command.isEmpty()) {
      throw new ParseException("unknown command '" + name + "'; see geraniumwharf --help");
    }
    CommandContext context =
        CommandContext.of(
            line,
            words.subList(1, words.size()),
            Output.of(output, line.hasOption("json")),
            OperatorClient.of(addresses(line, environment), key(line, environment)),
            new SecureRandom());
    return command.get().run(context);
  }

  private static List<String> addresses(CommandLine line, Map<String, String> environment) {
    String text = line.getOptionValue("operator", environment.getOrDefault(ADDRESS_VARIABLE, ""));
    return Stream.of(text.split(",")).map(String::strip).filter(part -> !part.isEmpty()).toList();
  }

  private static String key(CommandLine line, Map<String, String> environment)
      throws ParseException {
    if (!line.hasOption("key-file")) {
      return environment.getOrDefault(KEY_VARIABLE, "");
    }
    try {
      return Files.readString(Path.of(line.getOptionValue("key-file"))).strip();
    } catch (IOException e) {
      throw new ParseException("cannot read the key file: " + e.getMessage());
    }
  }

  private static Options options() {
    return new Options()
        .addOption(valued("operator", "URLS", "operators' edges, separated by commas"))
        .addOption(valued("key-file", "FILE", "file that holds the operators' key"))
        .addOption(valued("base-version", "N", "version that the set was derived from"))
        .addOption(valued("publish-id", "ID", "id that a resend repeats"))
        .addOption(valued("as", "NAME", "who publishes"))
        .addOption(valued("since", "TIME", "time from which on events are printed"))
        .addOption(valued("timeout", "SECONDS", "longest wait, s"))
        .addOption(Option.builder().longOpt("wait").desc("wait until it is in force").get())
        .addOption(Option.builder().longOpt("json").desc("print JSON").get())
        .addOption(Option.builder().longOpt("version").desc("print the version").get())
        .addOption(Option.builder("h").longOpt("help").desc("print this help").get());
  }

  private static Option valued(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  private static void printHelp(PrintStream output) {
    output.println("usage: geraniumwharf [--operator URLS] [--key-file FILE] [--json] COMMAND");
    output.println();
    output.println("Commands:");
    for (CliCommand command : Commands.ALL) {
      output.println("  " + command.usage());
      output.println("      " + command.summary());
    }
    output.println();
    output.println("Exit statuses:");
    for (ExitStatus status : ExitStatus.values()) {
      output.println("  " + status.code() + "  " + status.meaning());
    }
  }

  private static String version() {
    String version = GeraniumwharfCli.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}

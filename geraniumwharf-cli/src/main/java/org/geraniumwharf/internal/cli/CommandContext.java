package org.geraniumwharf.internal.cli;

import java.security.SecureRandom;
import java.util.List;
import org.apache.commons.cli.CommandLine;

/** What a command works with. */
public final class CommandContext {

  private final CommandLine line;
  private final List<String> arguments;
  private final Output output;
  private final OperatorClient client;
  private final SecureRandom random;

  private CommandContext(
      CommandLine line,
      List<String> arguments,
      Output output,
      OperatorClient client,
      SecureRandom random) {
    this.line = line;
    this.arguments = arguments;
    this.output = output;
    this.client = client;
    this.random = random;
  }

  /**
   * Creates a context.
   *
   * @param arguments words after the name of the command
   */
  public static CommandContext of(
      CommandLine line,
      List<String> arguments,
      Output output,
      OperatorClient client,
      SecureRandom random) {
    return new CommandContext(line, List.copyOf(arguments), output, client, random);
  }

  Output output() {
    return output;
  }

  OperatorClient client() {
    return client;
  }

  SecureRandom random() {
    return random;
  }

  boolean has(String option) {
    return line.hasOption(option);
  }

  String option(String name, String otherwise) {
    return line.getOptionValue(name, otherwise);
  }

  /** Returns the value of an option that the command needs. */
  String requiredOption(String name) throws CliException {
    if (!line.hasOption(name)) {
      throw CliException.of(ExitStatus.USAGE, "the command needs --" + name);
    }
    return line.getOptionValue(name);
  }

  /** Returns the option's value as a whole number. */
  long requiredNumber(String name) throws CliException {
    return number(name, requiredOption(name));
  }

  long number(String name, String text) throws CliException {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw CliException.of(ExitStatus.USAGE, "--" + name + " needs a whole number, not " + text);
    }
  }

  /** Returns the only argument of the command. */
  String onlyArgument(String name) throws CliException {
    if (arguments.size() != 1) {
      throw CliException.of(ExitStatus.USAGE, "the command needs one argument: " + name);
    }
    return arguments.get(0);
  }

  List<String> arguments() {
    return arguments;
  }
}

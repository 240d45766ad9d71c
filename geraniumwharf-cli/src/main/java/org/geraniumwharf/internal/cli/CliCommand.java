package org.geraniumwharf.internal.cli;

/** One command of the command line. */
public interface CliCommand {

  /** Returns the word that calls it. */
  String name();

  /** Returns its arguments and own options, as one line. */
  String usage();

  /** Returns what it does, as one line. */
  String summary();

  /**
   * Runs it.
   *
   * @throws CliException if it cannot go on
   */
  ExitStatus run(CommandContext context) throws CliException;
}

package org.geraniumwharf.internal.cli;

import java.util.List;
import java.util.Optional;

/** Every command, in the order of the help text. */
public final class Commands {

  public static final List<CliCommand> ALL =
      List.of(
          new CheckCommand(),
          new PublishCommand(),
          new GetCommand(),
          new DiffCommand(),
          new StatusCommand(),
          new TargetsCommand(),
          new ExplainCommand(),
          new KeyCommand(),
          new VotersCommand(),
          new RolloutCommand(),
          new PlacementCommand(),
          new EventsCommand());

  private Commands() {}

  public static Optional<CliCommand> find(String name) {
    return ALL.stream().filter(command -> command.name().equals(name)).findFirst();
  }
}

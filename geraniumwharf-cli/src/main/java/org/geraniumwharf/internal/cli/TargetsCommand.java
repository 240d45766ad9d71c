package org.geraniumwharf.internal.cli;

import java.util.List;
import java.util.stream.Collectors;
import org.geraniumwharf.schema.operators.TargetsAnswer;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;

/** Prints the targets. */
final class TargetsCommand implements CliCommand {

  @Override
  public String name() {
    return "targets";
  }

  @Override
  public String usage() {
    return "targets";
  }

  @Override
  public String summary() {
    return "print the targets and what they hold";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    TargetsAnswer answer = context.client().get("/v1/targets", TargetsAnswer.class);
    Output output = context.output();
    if (output.isJson()) {
      output.json(answer);
      return ExitStatus.SUCCESS;
    }
    output.table(
        List.of("TARGET", "KIND", "DATA CENTRE", "STATE", "ADDRESS", "HOLDS"),
        answer.targets().stream().map(TargetsCommand::row).toList());
    return ExitStatus.SUCCESS;
  }

  private static List<String> row(TargetRecord record) {
    Announcement announcement = record.announcement();
    String loaded =
        announcement.loaded().stream()
            .map(LoadedWeights::modelVersion)
            .collect(Collectors.joining(","));
    String state = announcement.leaving() ? "leaving" : "live";
    return List.of(
        announcement.id(),
        announcement.kind().name(),
        announcement.dataCentre(),
        record.lapsed() ? "lapsed" : state,
        announcement.address(),
        announcement.service().orElse(loaded));
  }
}

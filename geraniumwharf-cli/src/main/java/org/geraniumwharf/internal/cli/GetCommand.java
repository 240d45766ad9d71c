package org.geraniumwharf.internal.cli;

import java.util.List;
import org.geraniumwharf.configuration.ObjectKind;
import org.geraniumwharf.schema.operators.ConfigurationAnswer;

/** Prints the published set. */
final class GetCommand implements CliCommand {

  @Override
  public String name() {
    return "get";
  }

  @Override
  public String usage() {
    return "get";
  }

  @Override
  public String summary() {
    return "print the published set; with --json in full";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    ConfigurationAnswer answer =
        context.client().get("/v1/configuration", ConfigurationAnswer.class);
    Output output = context.output();
    if (output.isJson()) {
      output.json(answer);
      return ExitStatus.SUCCESS;
    }
    output.line("version " + answer.version());
    output.table(
        List.of("KIND", "NAME"),
        answer.objects().stream()
            .map(object -> List.of(ObjectKind.of(object).wireName(), object.name()))
            .toList());
    return ExitStatus.SUCCESS;
  }
}

package org.geraniumwharf.internal.cli;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.schema.messages.ExplainPlacementAnswer;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.LoadedWeights;

/** Tells what placement decided about a target. */
final class PlacementCommand implements CliCommand {

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public String usage() {
    return "placement explain TARGET";
  }

  @Override
  public String summary() {
    return "tell what a target holds, its open order and the leader's newest decisions about it";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    List<String> arguments = context.arguments();
    if (arguments.size() != 2 || !arguments.get(0).equals("explain")) {
      throw CliException.of(ExitStatus.USAGE, "usage: geraniumwharf " + usage());
    }
    String target = arguments.get(1);
    ExplainPlacementAnswer answer =
        context.client().get("/v1/placement/" + target, ExplainPlacementAnswer.class);
    if (answer.record().isEmpty()) {
      throw CliException.of(ExitStatus.FAILURE, "no target " + target + " has announced itself");
    }
    if (context.output().isJson()) {
      context.output().json(answer);
    } else {
      print(context.output(), answer.record().get(), answer);
    }
    return ExitStatus.SUCCESS;
  }

  private static void print(Output output, TargetRecord record, ExplainPlacementAnswer answer) {
    List<String> loaded =
        record.announcement().loaded().stream().map(LoadedWeights::modelVersion).toList();
    output.line("holds " + (loaded.isEmpty() ? "nothing" : String.join(", ", loaded)));
    String order =
        record
            .order()
            .map(
                open ->
                    (open.load() ? "load " : "unload ")
                        + open.modelVersion()
                        + ", term "
                        + open.term()
                        + ", sequence "
                        + open.sequence())
            .orElse("none");
    output.line("open order " + order);
    output.line("leader " + answer.leader() + ", term " + answer.term());
    output.line("");
    output.table(
        List.of("TIME", "DECISION", "REASON"),
        answer.notes().stream()
            .map(
                note ->
                    List.of(
                        Instant.ofEpochMilli(note.atMillis()).toString(),
                        note.decision(),
                        note.reason()))
            .toList());
  }
}

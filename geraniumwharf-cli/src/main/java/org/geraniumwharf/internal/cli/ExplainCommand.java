package org.geraniumwharf.internal.cli;

import java.util.List;
import java.util.Locale;
import org.geraniumwharf.schema.operators.CandidateTerms;
import org.geraniumwharf.schema.operators.DecisionRecord;
import org.geraniumwharf.schema.operators.ExplainAnswer;

/** Prints the routing decisions of one request, from whichever daemon made them. */
final class ExplainCommand implements CliCommand {

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String usage() {
    return "explain REQUEST_ID";
  }

  @Override
  public String summary() {
    return "print the routing decisions of a request, their terms and what was logged of it";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    String request = context.onlyArgument("REQUEST_ID");
    FleetAnswers<ExplainAnswer> asked =
        FleetAnswers.ask(context.client(), "/v1/explain/" + request, ExplainAnswer.class);
    asked.printNotAsked(context.output());
    if (asked.answers().isEmpty()) {
      return ExitStatus.UNAVAILABLE;
    }
    List<ExplainAnswer> found =
        asked.answers().stream()
            .filter(answer -> !answer.decisions().isEmpty() || answer.outcome().isPresent())
            .toList();
    if (found.isEmpty()) {
      context.output().line("no daemon asked remembers request " + request);
      return ExitStatus.FAILURE;
    }
    found.forEach(answer -> print(answer, context.output()));
    if (!context.output().isJson()) {
      context.output().line("");
      FleetEvents.read(context.client(), "/v1/events/" + request).print(context.output());
    }
    return ExitStatus.SUCCESS;
  }

  private static void print(ExplainAnswer answer, Output output) {
    if (output.isJson()) {
      output.json(answer);
      return;
    }
    output.line("daemon " + answer.daemon() + ", outcome " + answer.outcome().orElse("open"));
    for (DecisionRecord decision : answer.decisions()) {
      output.line("");
      output.line("attempt " + decision.attempt() + " went to " + decision.chosen());
      output.table(
          List.of(
              "TARGET",
              "SOURCE",
              "QUEUE MS",
              "PREFILL MS",
              "IMPORT",
              "PENALTY MS",
              "CACHED",
              "COST MS"),
          decision.candidates().stream().map(ExplainCommand::row).toList());
    }
  }

  private static List<String> row(CandidateTerms terms) {
    return List.of(
        terms.target(),
        terms.source(),
        millis(terms.queueMillis()),
        millis(terms.prefillMillis()),
        String.valueOf(terms.imported()),
        millis(terms.penaltyMillis()),
        String.valueOf(terms.cachedPieces()),
        millis(terms.costMillis()));
  }

  private static String millis(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}

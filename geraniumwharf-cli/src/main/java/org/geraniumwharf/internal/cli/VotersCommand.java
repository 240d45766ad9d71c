package org.geraniumwharf.internal.cli;

import java.util.List;
import org.geraniumwharf.schema.messages.ChangeVotersAnswer;
import org.geraniumwharf.schema.messages.ChangeVotersCall;

/** Adds or removes one control instance. */
final class VotersCommand implements CliCommand {

  @Override
  public String name() {
    return "voters";
  }

  @Override
  public String usage() {
    return "voters add NAME | voters remove NAME";
  }

  @Override
  public String summary() {
    return "add or remove one control instance; it votes once it has caught up";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    List<String> arguments = context.arguments();
    boolean isAdd = arguments.size() == 2 && arguments.get(0).equals("add");
    boolean isRemove = arguments.size() == 2 && arguments.get(0).equals("remove");
    if (!isAdd && !isRemove) {
      throw CliException.of(ExitStatus.USAGE, "usage: geraniumwharf " + usage());
    }
    ChangeVotersAnswer answer =
        context
            .client()
            .post(
                "/v1/control/voters",
                ChangeVotersCall.of(arguments.get(1), isAdd),
                ChangeVotersAnswer.class);
    if (context.output().isJson()) {
      context.output().json(answer);
    } else {
      context.output().line("voters " + String.join(", ", answer.membership().voters()));
      context.output().line("learners " + String.join(", ", answer.membership().learners()));
    }
    return ExitStatus.SUCCESS;
  }
}

package org.geraniumwharf.internal.cli;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.geraniumwharf.schema.messages.SteerRolloutAnswer;
import org.geraniumwharf.schema.operators.DeploymentRollout;
import org.geraniumwharf.schema.operators.RolloutsAnswer;
import org.geraniumwharf.schema.operators.SteerRolloutRequest;
import org.geraniumwharf.schema.state.RolloutAction;

/** Shows and steers the changes of version. */
final class RolloutCommand implements CliCommand {

  @Override
  public String name() {
    return "rollout";
  }

  @Override
  public String usage() {
    return "rollout status | rollout pause|resume|undo DEPLOYMENT";
  }

  @Override
  public String summary() {
    return "show or steer the change of a deployment's model version";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    List<String> arguments = context.arguments();
    if (arguments.equals(List.of("status"))) {
      return status(context);
    }
    Optional<RolloutAction> action =
        arguments.size() == 2 ? action(arguments.get(0)) : Optional.empty();
    if (action.isEmpty()) {
      throw CliException.of(ExitStatus.USAGE, "usage: geraniumwharf " + usage());
    }
    return steer(context, action.get(), arguments.get(1));
  }

  private static Optional<RolloutAction> action(String word) {
    return switch (word) {
      case "pause" -> Optional.of(RolloutAction.PAUSE);
      case "resume" -> Optional.of(RolloutAction.RESUME);
      case "undo" -> Optional.of(RolloutAction.UNDO);
      default -> Optional.empty();
    };
  }

  private static ExitStatus status(CommandContext context) throws CliException {
    RolloutsAnswer answer = context.client().get("/v1/rollouts", RolloutsAnswer.class);
    if (context.output().isJson()) {
      context.output().json(answer);
      return ExitStatus.SUCCESS;
    }
    context
        .output()
        .table(
            List.of("DEPLOYMENT", "WANTED", "STATE", "SERVING", "HOLDING", "ORDERED", "REASON"),
            answer.deployments().stream().map(RolloutCommand::row).toList());
    return ExitStatus.SUCCESS;
  }

  private static List<String> row(DeploymentRollout deployment) {
    return List.of(
        deployment.deployment(),
        deployment.wanted(),
        deployment
            .rollout()
            .map(rollout -> rollout.state().name().toLowerCase(Locale.ROOT))
            .orElse("-"),
        String.valueOf(deployment.serving()),
        String.valueOf(deployment.holding()),
        String.valueOf(deployment.ordered()),
        deployment.rollout().map(rollout -> rollout.reason()).orElse("-"));
  }

  private static ExitStatus steer(CommandContext context, RolloutAction action, String deployment)
      throws CliException {
    SteerRolloutAnswer answer =
        context
            .client()
            .post(
                "/v1/rollouts/" + deployment,
                SteerRolloutRequest.of(action, "cli"),
                SteerRolloutAnswer.class);
    if (context.output().isJson()) {
      context.output().json(answer);
    } else {
      context.output().line(deployment + ": " + answer.message());
    }
    return answer.done() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
  }
}

package org.geraniumwharf.internal.cli;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.configuration.ObjectSetReader;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.StatusAnswer;
import org.geraniumwharf.schema.operators.PublishRequest;

/** Publishes a folder of objects as one set. A resend under the same id is safe. */
final class PublishCommand implements CliCommand {

  private static final Duration POLL = Duration.ofMillis(200);
  private static final String DEFAULT_TIMEOUT_SECONDS = "30";

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public String usage() {
    return "publish DIR --base-version N --publish-id ID [--as NAME] [--wait [--timeout SECONDS]]";
  }

  @Override
  public String summary() {
    return "publish the objects below a folder as one set";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    Output output = context.output();
    ObjectSetReader reader = ObjectFolder.readSound(context.onlyArgument("DIR"), output);
    PublishRequest request =
        PublishRequest.of(
            context.requiredNumber("base-version"),
            context.requiredOption("publish-id"),
            context.option("as", "operator"),
            reader.objects());
    PublishAnswer answer = context.client().post("/v1/configuration", request, PublishAnswer.class);
    print(answer, output);
    return switch (answer.outcome()) {
      case ACCEPTED, REPEATED -> afterAcceptance(context, answer.version());
      case CONFLICT -> ExitStatus.CONFLICT;
      case REJECTED -> ExitStatus.INVALID_CONFIGURATION;
    };
  }

  private static void print(PublishAnswer answer, Output output) {
    if (output.isJson()) {
      output.json(answer);
      return;
    }
    if (answer.outcome() == PublishOutcome.CONFLICT) {
      String winner =
          answer
              .winner()
              .map(record -> record.publishId() + " by " + record.operator())
              .orElse("none");
      output.line("conflict: version " + answer.version() + " is held by " + winner);
    } else if (answer.outcome() == PublishOutcome.REJECTED) {
      answer.faults().forEach(output::line);
    } else {
      output.line(
          "version "
              + answer.version()
              + " "
              + (answer.outcome() == PublishOutcome.ACCEPTED ? "accepted" : "was accepted before"));
    }
  }

  private static ExitStatus afterAcceptance(CommandContext context, long version)
      throws CliException {
    if (!context.has("wait")) {
      return ExitStatus.SUCCESS;
    }
    long seconds = context.number("timeout", context.option("timeout", DEFAULT_TIMEOUT_SECONDS));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    List<String> late = lateDaemons(context, version);
    while (!late.isEmpty() && System.nanoTime() < deadline) {
      pause();
      late = lateDaemons(context, version);
    }
    if (late.isEmpty()) {
      context.output().line("version " + version + " is in force on every live daemon");
      return ExitStatus.SUCCESS;
    }
    context.output().line("late: " + String.join(", ", late));
    return ExitStatus.LATE;
  }

  private static List<String> lateDaemons(CommandContext context, long version)
      throws CliException {
    StatusAnswer status = context.client().get("/v1/status", StatusAnswer.class);
    return status.daemons().stream()
        .filter(daemon -> daemon.configurationVersion() < version)
        .map(DaemonStatus::name)
        .toList();
  }

  private static void pause() throws CliException {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw CliException.of(ExitStatus.UNAVAILABLE, "interrupted while waiting");
    }
  }
}

package org.geraniumwharf.internal.cli;

import java.util.List;
import org.geraniumwharf.schema.messages.StatusAnswer;

/** Prints the state of the fleet as the leader sees it. */
final class StatusCommand implements CliCommand {

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String usage() {
    return "status";
  }

  @Override
  public String summary() {
    return "print the leader, the control instances and the daemons";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    StatusAnswer status = context.client().get("/v1/status", StatusAnswer.class);
    Output output = context.output();
    if (output.isJson()) {
      output.json(status);
      return ExitStatus.SUCCESS;
    }
    output.line("leader " + status.leader() + ", term " + status.term());
    output.line("configuration version " + status.configurationVersion());
    output.line("runs " + status.runs());
    output.line("");
    output.table(
        List.of("CONTROL", "VOTER", "INDEX", "BEHIND", "SILENT MS"),
        status.replicas().stream()
            .map(
                replica ->
                    List.of(
                        replica.name(),
                        String.valueOf(replica.voter()),
                        String.valueOf(replica.matchIndex()),
                        String.valueOf(Math.max(0, status.commitIndex() - replica.matchIndex())),
                        String.valueOf(replica.answeredMillisAgo())))
            .toList());
    output.line("");
    output.table(
        List.of("DAEMON", "DATA CENTRE", "READY", "LEAVING", "VERSION"),
        status.daemons().stream()
            .map(
                daemon ->
                    List.of(
                        daemon.name(),
                        daemon.dataCentre(),
                        String.valueOf(daemon.ready()),
                        String.valueOf(daemon.leaving()),
                        String.valueOf(daemon.configurationVersion())))
            .toList());
    return ExitStatus.SUCCESS;
  }
}

package org.geraniumwharf.internal.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;

/** Prints what happened to the fleet, out of the events of every daemon asked. */
final class EventsCommand implements CliCommand {

  @Override
  public String name() {
    return "events";
  }

  @Override
  public String usage() {
    return "events --since TIME";
  }

  @Override
  public String summary() {
    return "print the fleet's events since a time, such as 2026-12-04T09:00:00Z, in order";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    Instant since = since(context.requiredOption("since"));
    FleetEvents events =
        FleetEvents.read(context.client(), "/v1/events?since=" + since.toEpochMilli());
    if (context.output().isJson()) {
      context.output().json(events.answers());
    } else {
      events.print(context.output());
    }
    return events.answers().isEmpty() ? ExitStatus.UNAVAILABLE : ExitStatus.SUCCESS;
  }

  private static Instant since(String text) throws CliException {
    try {
      return Instant.parse(text);
    } catch (DateTimeParseException e) {
      throw CliException.of(
          ExitStatus.USAGE, "--since needs a time such as 2026-12-04T09:00:00Z, not " + text);
    }
  }
}

package org.geraniumwharf.internal.cli;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.geraniumwharf.schema.operators.EventLine;
import org.geraniumwharf.schema.operators.EventsAnswer;

/** Events of several daemons, put in the order of their times. */
final class FleetEvents {

  private final FleetAnswers<EventsAnswer> asked;

  private FleetEvents(FleetAnswers<EventsAnswer> asked) {
    this.asked = asked;
  }

  /** Asks every daemon; one that does not answer is told of when the events are printed. */
  static FleetEvents read(OperatorClient client, String path) {
    return new FleetEvents(FleetAnswers.ask(client, path, EventsAnswer.class));
  }

  List<EventsAnswer> answers() {
    return asked.answers();
  }

  private record Told(String daemon, EventLine event) {}

  void print(Output output) {
    asked.printNotAsked(output);
    answers().stream()
        .filter(answer -> !answer.complete())
        .forEach(answer -> output.line(answer.daemon() + " remembers only a later part"));
    answers().stream()
        .flatMap(answer -> answer.events().stream().map(event -> new Told(answer.daemon(), event)))
        .sorted(Comparator.comparingLong(told -> told.event().atMillis()))
        .forEach(
            told ->
                output.line(
                    Instant.ofEpochMilli(told.event().atMillis())
                        + " "
                        + told.daemon()
                        + " "
                        + told.event().line()));
  }
}

package org.geraniumwharf.internal.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Answers of every daemon to the same question.
 *
 * @param answers answers of those that answered
 * @param notAsked why the others did not
 */
record FleetAnswers<T>(List<T> answers, List<String> notAsked) {

  FleetAnswers {
    answers = List.copyOf(answers);
    notAsked = List.copyOf(notAsked);
  }

  static <T> FleetAnswers<T> ask(OperatorClient client, String path, Class<T> type) {
    List<T> answers = new ArrayList<>();
    List<String> notAsked = new ArrayList<>();
    for (String address : client.addresses()) {
      try {
        answers.add(client.getAt(address, path, type));
      } catch (CliException e) {
        notAsked.add(e.getMessage());
      }
    }
    return new FleetAnswers<>(answers, notAsked);
  }

  void printNotAsked(Output output) {
    notAsked.forEach(message -> output.line("not asked: " + message));
  }
}

package org.geraniumwharf.bench;

import java.util.Arrays;
import java.util.Optional;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.ResolvedRequest;

/**
 * Prints the time of the first placement decisions of a process, most of which the interpreter
 * runs. Run by {@code scripts/bench first-decisions}, which turns the compiler off.
 */
public final class FirstDecisions {

  private static final int DEFAULT_TARGETS = 98;
  private static final int DECISIONS = 200;
  private static final int NANOS_PER_MICRO = 1000;

  private FirstDecisions() {}

  /** Measures; the argument is the number of targets. */
  public static void main(String[] arguments) {
    int targets = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_TARGETS;
    PlacementLoad load = new PlacementLoad(targets);
    long[] micros = new long[DECISIONS];
    for (int i = 0; i < DECISIONS; i++) {
      ResolvedRequest request = load.next();
      long start = System.nanoTime();
      Optional<RelayPlacement.Choice> choice = load.decide(request);
      micros[i] = (System.nanoTime() - start) / NANOS_PER_MICRO;
      choice.ifPresent(chosen -> load.send(request, chosen));
    }
    long first = micros[0];
    Arrays.sort(micros);
    System.out.printf(
        "targets=%d decisions=%d firstMicros=%d medianMicros=%d p90Micros=%d totalMillis=%d%n",
        targets,
        DECISIONS,
        first,
        micros[DECISIONS / 2],
        micros[DECISIONS * 9 / 10],
        Arrays.stream(micros).sum() / NANOS_PER_MICRO);
  }
}

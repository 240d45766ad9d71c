package org.geraniumwharf.weights;

import java.util.Optional;

/** Parses the number of a version of weights, as an announcement states it. */
public final class WeightsVersion {

  private WeightsVersion() {}

  /** Returns the number; empty if the text is no number of 64 bits. */
  public static Optional<Long> parse(String text) {
    try {
      return Optional.of(Long.parseLong(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}

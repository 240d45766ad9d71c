package org.geraniumwharf.limit;

import java.util.OptionalDouble;

/**
 * Requests a second that a target takes from all entry instances together.
 *
 * @param requestsPerSecond the limit; empty if the target has none
 */
public record RequestLimit(OptionalDouble requestsPerSecond) {

  /**
   * Lowest limit that is observed, so that a target that takes nothing is still asked now and then
   * whether it takes more.
   */
  public static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final RequestLimit NONE = new RequestLimit(OptionalDouble.empty());

  /** Returns the limit of a target that states none. */
  public static RequestLimit none() {
    return NONE;
  }

  /** Creates a limit; one below {@link #MIN_REQUESTS_PER_SECOND} is raised to it. */
  public static RequestLimit of(double requestsPerSecond) {
    return new RequestLimit(
        OptionalDouble.of(Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond)));
  }

  /** Returns whether there is a limit. */
  public boolean isPresent() {
    return requestsPerSecond.isPresent();
  }

  /** Returns whether this limit allows fewer requests than another one. */
  boolean isLowerThan(RequestLimit other) {
    return orInfinity() < other.orInfinity();
  }

  private double orInfinity() {
    return requestsPerSecond.orElse(Double.POSITIVE_INFINITY);
  }

  @Override
  public String toString() {
    return isPresent() ? Double.toString(requestsPerSecond.getAsDouble()) : "none";
  }
}

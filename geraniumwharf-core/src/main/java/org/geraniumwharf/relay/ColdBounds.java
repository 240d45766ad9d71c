package org.geraniumwharf.relay;

/**
 * Bound of the requests that a cold target may get in any one second from all instances together:
 * its stated rate times {@code overage}, plus {@code slack}.
 *
 * @param overage factor of the stated rate, above 0
 * @param slack requests beyond that, at least 0
 */
public record ColdBounds(double overage, double slack) {

  /**
   * Rankings that the sends of one second may follow, while instances hold rankings of different
   * age; see {@link EntryRanks}.
   */
  private static final int RANKINGS_IN_USE = 2;

  /** Greatest rate that is divided; a greater one has the same effect. */
  private static final int MAX_RATE = 1_000_000;

  /**
   * Returns the requests per second that are divided among the instances of one ranking. If two
   * rankings are in use, the instances together still stay within the bound.
   *
   * @param rate requests per second that the target accepts, above 0
   */
  int divided(double rate) {
    double bound = rate * overage + slack;
    double most = Math.min(Math.max(1, rate), bound / RANKINGS_IN_USE);
    return (int) Math.min(MAX_RATE, most);
  }
}

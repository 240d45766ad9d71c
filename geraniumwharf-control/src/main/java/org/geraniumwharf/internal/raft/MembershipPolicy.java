package org.geraniumwharf.internal.raft;

import java.time.Duration;

/**
 * How a leader keeps the members of its group.
 *
 * @param minimumCopies fewest durable copies of a committed entry; a group with fewer voters needs
 *     every one of them
 * @param desiredVoters voters that the leader aims at; 0 leaves every change but the promotion of
 *     learners to operators
 * @param replacementTimeout time without an answer after which a member may be replaced
 */
public record MembershipPolicy(
    int minimumDurableCopies, int desiredVoters, Duration replacementTimeout) {

  private static final Duration REPLACEMENT_TIMEOUT = Duration.ofMillis(1500);

  /** Operators add and remove instances; a majority is enough to commit. */
  public static MembershipPolicy manual() {
    return new MembershipPolicy(1, 0, REPLACEMENT_TIMEOUT);
  }

  /**
   * The leader replaces silent instances, and what is committed survives so many losses at once.
   */
  public static MembershipPolicy toleratingLosses(int losses) {
    return new MembershipPolicy(losses + 1, 2 * losses + 1, REPLACEMENT_TIMEOUT);
  }

  boolean isManaged() {
    return desiredVoters > 0;
  }
}

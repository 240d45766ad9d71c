package org.geraniumwharf.internal.raft;

import java.time.Duration;

/**
 * How a leader keeps the members of its group.
 *
 * @param minimumCopies fewest durable copies of a committed entry; a group with fewer voters needs
 *     every one of them
 * @param wantedVoters voters that the leader aims at; 0 leaves every change but the promotion of
 *     learners to operators
 * @param silence time without an answer after which a member may be replaced
 */
public record MemberRules(int minimumCopies, int wantedVoters, Duration silence) {

  private static final Duration SILENCE = Duration.ofMillis(1500);

  /** Operators add and remove instances; a majority is enough to commit. */
  public static MemberRules manual() {
    return new MemberRules(1, 0, SILENCE);
  }

  /**
   * The leader replaces silent instances, and what is committed survives so many losses at once.
   */
  public static MemberRules tolerating(int losses) {
    return new MemberRules(losses + 1, 2 * losses + 1, SILENCE);
  }

  boolean isManaged() {
    return wantedVoters > 0;
  }
}

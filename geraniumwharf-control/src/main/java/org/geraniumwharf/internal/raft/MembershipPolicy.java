package org.geraniumwharf.internal.raft;

import java.time.Duration;

/**
 * Rules by which a leader commits entries and replaces the members of its group.
 *
 * @param minimumDurableCopies minimum number of voters that store an entry durably before it is
 *     committed; a group with fewer voters needs all of them
 * @param desiredVoters number of voters that the leader maintains; 0 for a group in which it only
 *     promotes learners and operators make all other changes
 * @param replacementTimeout time without a response after which the leader may replace a member
 */
public record MembershipPolicy(
    int minimumDurableCopies, int desiredVoters, Duration replacementTimeout) {

  private static final Duration REPLACEMENT_TIMEOUT = Duration.ofMillis(1500);

  /**
   * Voters above the desired number. A successor has a vote before the voter that it replaces ends,
   * so that this end is no loss even if it comes without notice.
   */
  private static final int SPARE_VOTERS = 1;

  /** Returns a policy where operators add and remove members and a majority commits an entry. */
  public static MembershipPolicy manual() {
    return new MembershipPolicy(1, 0, REPLACEMENT_TIMEOUT);
  }

  /**
   * Returns a policy where the leader replaces unresponsive members and committed entries survive
   * the simultaneous loss of members.
   *
   * @param losses number of members that may be lost at the same time
   */
  public static MembershipPolicy toleratingLosses(int losses) {
    return new MembershipPolicy(losses + 1, 2 * losses + 1, REPLACEMENT_TIMEOUT);
  }

  /** Returns how many of a number of voters must store an entry before it is committed. */
  int copiesToCommit(int voters) {
    return Math.max(Quorum.majorityOf(voters), minimumDurableCopies);
  }

  int maxVoters() {
    return desiredVoters + SPARE_VOTERS;
  }

  boolean isManaged() {
    return desiredVoters > 0;
  }
}

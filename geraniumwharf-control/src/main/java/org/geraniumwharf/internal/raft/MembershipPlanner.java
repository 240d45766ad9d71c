package org.geraniumwharf.internal.raft;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.messages.LeaveOutcome;
import org.geraniumwharf.schema.state.Membership;

/**
 * Decides which membership a leader appends next: whom it adds, promotes and removes. Appends
 * nothing itself, and must not be asked while a membership is uncommitted.
 */
final class MembershipPlanner {

  private final MembershipPolicy policy;

  private MembershipPlanner(MembershipPolicy policy) {
    this.policy = policy;
  }

  static MembershipPlanner of(MembershipPolicy policy) {
    return new MembershipPlanner(policy);
  }

  /**
   * Returns the next membership that keeps the group at its size: without an unresponsive member,
   * or with a learner as a voter. One voter more than desired is kept if there is an instance for
   * it: the successor of one that is about to be replaced. Returns empty if nothing has to change.
   */
  Optional<Membership> maintain(
      LeaderState state, Membership membership, long commitIndex, Instant now) {
    if (policy.isManaged()) {
      Optional<String> removable = removableMember(state, membership, commitIndex, now);
      if (removable.isPresent()) {
        return Optional.of(MembershipChange.apply(membership, removable.get(), false));
      }
      if (membership.voters().size() >= policy.maxVoters()) {
        return Optional.empty();
      }
    }
    return promotion(state, membership, commitIndex, now);
  }

  /**
   * Returns the membership that an operator or a joining instance asks for, or empty if a remaining
   * voter is unresponsive or behind, so that a removal could leave the group without a quorum.
   */
  Optional<Membership> change(
      LeaderState state,
      Membership membership,
      long commitIndex,
      String name,
      boolean add,
      Instant now) {
    Membership changed = MembershipChange.apply(membership, name, add);
    boolean isSafe =
        add
            || changed.voters().stream()
                .allMatch(voter -> state.isUpToDate(voter, commitIndex, now));
    return isSafe ? Optional.of(changed) : Optional.empty();
  }

  /**
   * Plans the next step for a voter that is about to stop: a learner takes its place first, so that
   * the group tolerates as many losses without it as with it.
   */
  LeavePlan leave(
      LeaderState state, Membership membership, long commitIndex, String name, Instant now) {
    if (membership.voters().size() > policy.desiredVoters()) {
      return canLoseVoter(state, membership, commitIndex, name, now)
          ? LeavePlan.changeTo(MembershipChange.apply(membership, name, false))
          : LeavePlan.of(LeaveOutcome.PENDING);
    }
    Optional<Membership> promoted = promotion(state, membership, commitIndex, now);
    if (promoted.isPresent()) {
      return LeavePlan.changeTo(promoted.get());
    }
    boolean isSuccessorComing =
        membership.learners().stream().anyMatch(learner -> !isReplaceable(state, learner, now));
    return LeavePlan.of(isSuccessorComing ? LeaveOutcome.PENDING : LeaveOutcome.NO_SUCCESSOR);
  }

  /**
   * What a leader does for a voter that is about to stop.
   *
   * @param outcome whether the voter may stop
   * @param next membership to append, if there is one
   */
  record LeavePlan(LeaveOutcome outcome, Optional<Membership> next) {

    private static LeavePlan of(LeaveOutcome outcome) {
      return new LeavePlan(outcome, Optional.empty());
    }

    private static LeavePlan changeTo(Membership next) {
      return new LeavePlan(LeaveOutcome.PENDING, Optional.of(next));
    }
  }

  /**
   * Returns an unresponsive member that can be removed safely: any learner, or a voter if at least
   * the desired number remain and the up-to-date voters still form a quorum of them.
   */
  private Optional<String> removableMember(
      LeaderState state, Membership membership, long commitIndex, Instant now) {
    Optional<String> learner = replaceableOf(state, membership.learners(), now);
    if (learner.isPresent()) {
      return learner;
    }
    return replaceableOf(state, membership.voters(), now)
        .filter(name -> canLoseVoter(state, membership, commitIndex, name, now));
  }

  /**
   * Returns whether the voters that remain without one are enough, and whether a quorum of them
   * stores every committed entry.
   */
  private boolean canLoseVoter(
      LeaderState state, Membership membership, long commitIndex, String name, Instant now) {
    List<String> remaining =
        membership.voters().stream().filter(voter -> !voter.equals(name)).toList();
    long upToDate =
        remaining.stream().filter(voter -> state.isUpToDate(voter, commitIndex, now)).count();
    return remaining.size() >= policy.desiredVoters()
        && upToDate >= policy.copiesToCommit(remaining.size());
  }

  private Optional<String> replaceableOf(LeaderState state, List<String> names, Instant now) {
    return names.stream().filter(name -> isReplaceable(state, name, now)).findFirst();
  }

  /** Returns whether a member has not responded within the replacement timeout. */
  private boolean isReplaceable(LeaderState state, String name, Instant now) {
    Progress progress = state.progress(name);
    return progress != null
        && !now.isBefore(progress.lastResponseAt().plus(policy.replacementTimeout()));
  }

  /** Returns the membership with a responsive learner as a voter that stores all that matters. */
  private static Optional<Membership> promotion(
      LeaderState state, Membership membership, long commitIndex, Instant now) {
    return membership.learners().stream()
        .filter(name -> state.isUpToDate(name, commitIndex, now))
        .findFirst()
        .map(name -> MembershipChange.promote(membership, name));
  }
}

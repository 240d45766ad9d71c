package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.ReplicaStatus;
import org.geraniumwharf.schema.state.Membership;

/** What only a leader keeps: the progress of the others, heartbeat rounds, reads, a transfer. */
final class LeaderState {

  static final int MAX_ENTRIES_PER_APPEND = 512;
  static final int MAX_PAYLOAD_BYTES_PER_APPEND = 1 << 20;

  private final String self;
  private final RaftTiming timing;
  private final Map<String, Progress> otherMembers = new LinkedHashMap<>();
  private final Deque<Round> unconfirmedRounds = new ArrayDeque<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();

  private long round;
  private long confirmedRound;
  private long barrierIndex = Long.MAX_VALUE;
  private Instant nextHeartbeat;
  private Optional<String> transferee = Optional.empty();
  private Instant transferDeadline = Instant.MAX;

  LeaderState(String self, RaftTiming timing, Instant now) {
    this.self = self;
    this.timing = timing;
    this.nextHeartbeat = now.plus(timing.heartbeatInterval());
  }

  /** Follows a change of members; a new one starts with a full lease. */
  void syncMembers(Membership membership, long next, Instant now) {
    Set<String> members = new HashSet<>(membership.voters());
    members.addAll(membership.learners());
    members.remove(self);
    otherMembers.keySet().retainAll(members);
    members.forEach(name -> otherMembers.computeIfAbsent(name, key -> new Progress(next, now)));
  }

  Set<String> otherMembers() {
    return otherMembers.keySet();
  }

  Progress progress(String name) {
    return otherMembers.get(name);
  }

  long round() {
    return round;
  }

  /** Reads are answered only after the first entry of this leader's term is committed. */
  void setBarrierIndex(long index) {
    barrierIndex = index;
  }

  boolean isHeartbeatDue(Instant now) {
    return !now.isBefore(nextHeartbeat);
  }

  void startRound(Instant now) {
    round++;
    unconfirmedRounds.add(new Round(round, now));
    nextHeartbeat = now.plus(timing.heartbeatInterval());
  }

  /**
   * Returns the start of the newest round that a quorum newly answered; none before the barrier is
   * committed, since until then older entries may be committed without this leader knowing.
   */
  Optional<Instant> confirmRounds(Membership membership, long commit) {
    List<Long> answered = new ArrayList<>();
    for (String voter : membership.voters()) {
      answered.add(voter.equals(self) ? round : acknowledgedRound(voter));
    }
    long quorumRound = greatestMajorityValue(answered);
    Optional<Instant> start = Optional.empty();
    while (!unconfirmedRounds.isEmpty() && unconfirmedRounds.peek().number() <= quorumRound) {
      Round confirmed = unconfirmedRounds.poll();
      confirmedRound = confirmed.number();
      start = Optional.of(confirmed.start());
    }
    return commit < barrierIndex ? Optional.empty() : start;
  }

  private long acknowledgedRound(String voter) {
    Progress progress = otherMembers.get(voter);
    return progress == null ? 0 : progress.acknowledgedRound();
  }

  void addRead(long id) {
    pendingReads.add(new PendingRead(id, round + 1));
  }

  boolean hasUnsentRead() {
    return pendingReads.stream().anyMatch(read -> read.round() > round);
  }

  List<ConfirmedRead> takeConfirmedReads(long commit) {
    if (commit < barrierIndex) {
      return List.of();
    }
    List<ConfirmedRead> confirmed = new ArrayList<>();
    for (PendingRead read : pendingReads) {
      if (read.round() <= confirmedRound) {
        confirmed.add(new ConfirmedRead(read.id(), commit));
      }
    }
    pendingReads.removeIf(read -> read.round() <= confirmedRound);
    return confirmed;
  }

  /** Returns the newest index of which a majority, and no fewer than some copies, are durable. */
  long commitCandidate(Membership membership, long ownMatch, int minimumCopies) {
    List<Long> matches = new ArrayList<>();
    for (String voter : membership.voters()) {
      if (voter.equals(self)) {
        matches.add(ownMatch);
      } else {
        Progress progress = otherMembers.get(voter);
        matches.add(progress == null ? 0 : progress.matchIndex());
      }
    }
    return greatestValueReachedBy(Math.max(majorityOf(matches.size()), minimumCopies), matches);
  }

  /** Returns the greatest value that a majority reaches. */
  private static long greatestMajorityValue(List<Long> values) {
    return greatestValueReachedBy(majorityOf(values.size()), values);
  }

  private static int majorityOf(int count) {
    return count / 2 + 1;
  }

  /** Returns the greatest value that so many reach, or all if there are fewer. */
  private static long greatestValueReachedBy(int count, List<Long> values) {
    List<Long> ordered = new ArrayList<>(values);
    ordered.sort(Comparator.reverseOrder());
    return ordered.isEmpty() ? 0 : ordered.get(Math.min(count, ordered.size()) - 1);
  }

  /** Tells whether the group is short of voters, or has one that has to be replaced. */
  boolean isVoterNeeded(Membership membership, MembershipPolicy rules, Instant now) {
    return membership.voters().size() < rules.desiredVoters()
        || membership.voters().stream().anyMatch(name -> isReplaceable(name, rules, now));
  }

  /**
   * Returns a silent member that can be removed: a learner, or a voter beyond those wanted, as long
   * as the voters that are current stay a quorum of the rest.
   */
  Optional<String> removableMember(
      Membership membership, long commit, MembershipPolicy rules, Instant now) {
    Optional<String> learner =
        membership.learners().stream().filter(name -> isReplaceable(name, rules, now)).findFirst();
    if (learner.isPresent()) {
      return learner;
    }
    int remaining = membership.voters().size() - 1;
    if (remaining < rules.desiredVoters()) {
      return Optional.empty();
    }
    long current =
        membership.voters().stream().filter(name -> isUpToDate(name, commit, now)).count();
    return current < Math.max(majorityOf(remaining), rules.minimumDurableCopies())
        ? Optional.empty()
        : membership.voters().stream().filter(name -> isReplaceable(name, rules, now)).findFirst();
  }

  private boolean isReplaceable(String name, MembershipPolicy rules, Instant now) {
    Progress progress = otherMembers.get(name);
    return progress != null
        && !now.isBefore(progress.lastResponseAt().plus(rules.replacementTimeout()));
  }

  private boolean isUpToDate(String name, long commit, Instant now) {
    return name.equals(self)
        || (isResponsive(name, now) && otherMembers.get(name).matchIndex() >= commit);
  }

  boolean isQuorumActive(Membership membership, Instant now) {
    long active =
        membership.voters().stream()
            .filter(voter -> voter.equals(self) || isResponsive(voter, now))
            .count();
    return active * 2 > membership.voters().size();
  }

  boolean isEveryVoterUpToDate(Membership membership, long commit, Instant now) {
    return membership.voters().stream().allMatch(voter -> isUpToDate(voter, commit, now));
  }

  boolean isResponsive(String name, Instant now) {
    Progress progress = otherMembers.get(name);
    return progress != null
        && now.isBefore(progress.lastResponseAt().plus(timing.electionTimeout()));
  }

  Optional<String> promotableLearner(Membership membership, long commit, Instant now) {
    return membership.learners().stream()
        .filter(name -> isResponsive(name, now) && otherMembers.get(name).matchIndex() >= commit)
        .findFirst();
  }

  /** Chooses the voter that is furthest ahead; returns it if it can take over at once. */
  Optional<String> startTransfer(List<String> voters, Instant now) {
    transferee =
        voters.stream()
            .filter(name -> isResponsive(name, now))
            .max(Comparator.comparingLong(name -> otherMembers.get(name).matchIndex()));
    transferDeadline = now.plus(timing.electionTimeout());
    return transferee;
  }

  boolean isTransferring() {
    return transferee.isPresent();
  }

  void expireTransfer(Instant now) {
    if (!now.isBefore(transferDeadline)) {
      transferee = Optional.empty();
      transferDeadline = Instant.MAX;
    }
  }

  Optional<String> caughtUpTransferee(long lastIndex) {
    return transferee.filter(name -> isCaughtUp(name, lastIndex));
  }

  boolean isCaughtUp(String name, long lastIndex) {
    Progress progress = otherMembers.get(name);
    return progress != null && progress.matchIndex() == lastIndex;
  }

  List<ReplicaStatus> replicaStatuses(Membership membership, Instant now) {
    List<ReplicaStatus> status = new ArrayList<>();
    otherMembers.forEach(
        (name, progress) ->
            status.add(
                ReplicaStatus.of(
                    name,
                    membership.voters().contains(name),
                    progress.matchIndex(),
                    Duration.between(progress.lastResponseAt(), now).toMillis())));
    return status;
  }

  private record Round(long number, Instant start) {}

  private record PendingRead(long id, long round) {}
}

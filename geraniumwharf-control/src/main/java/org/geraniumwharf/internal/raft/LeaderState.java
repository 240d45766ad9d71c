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

/**
 * State that exists only on a leader: the replication progress of the other members, heartbeat
 * rounds, pending reads and a leadership transfer.
 */
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

  /**
   * Updates the tracked members after a membership change. A new member counts as responsive at
   * first, so that it has a full timeout to respond.
   */
  void syncMembers(List<Membership> memberships, long nextIndex, Instant now) {
    Set<String> members = new HashSet<>();
    for (Membership membership : memberships) {
      members.addAll(membership.voters());
      members.addAll(membership.learners());
    }
    members.remove(self);
    otherMembers.keySet().retainAll(members);
    members.forEach(
        name -> otherMembers.computeIfAbsent(name, key -> new Progress(nextIndex, now)));
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

  /** Sets the index of this leader's first entry; reads wait until it is committed. */
  void setBarrierIndex(long index) {
    barrierIndex = index;
  }

  boolean isBarrierCommitted(long commitIndex) {
    return commitIndex >= barrierIndex;
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
   * Confirms the heartbeat rounds that a quorum has acknowledged and returns the start of the
   * newest one. Returns empty if no round was newly confirmed, or if the barrier entry is not yet
   * committed: until then the leader's commit index may be behind entries that a previous leader
   * committed.
   */
  Optional<Instant> confirmRounds(Membership membership, long commitIndex) {
    List<Long> acknowledged = new ArrayList<>();
    for (String voter : membership.voters()) {
      acknowledged.add(voter.equals(self) ? round : acknowledgedRound(voter));
    }
    long quorumRound = greatestMajorityValue(acknowledged);
    Optional<Instant> start = Optional.empty();
    while (!unconfirmedRounds.isEmpty() && unconfirmedRounds.peek().number() <= quorumRound) {
      Round confirmed = unconfirmedRounds.poll();
      confirmedRound = confirmed.number();
      start = Optional.of(confirmed.start());
    }
    return isBarrierCommitted(commitIndex) ? start : Optional.empty();
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

  List<ConfirmedRead> takeConfirmedReads(long commitIndex) {
    if (!isBarrierCommitted(commitIndex)) {
      return List.of();
    }
    List<ConfirmedRead> confirmed = new ArrayList<>();
    for (PendingRead read : pendingReads) {
      if (read.round() <= confirmedRound) {
        confirmed.add(new ConfirmedRead(read.id(), commitIndex));
      }
    }
    pendingReads.removeIf(read -> read.round() <= confirmedRound);
    return confirmed;
  }

  /** Returns the highest index that a majority, and at least the minimum of copies, have stored. */
  long commitCandidate(Membership membership, long ownMatchIndex, int minimumDurableCopies) {
    List<Long> matches = new ArrayList<>();
    for (String voter : membership.voters()) {
      if (voter.equals(self)) {
        matches.add(ownMatchIndex);
      } else {
        Progress progress = otherMembers.get(voter);
        matches.add(progress == null ? 0 : progress.matchIndex());
      }
    }
    return greatestValueReachedBy(
        Math.max(Quorum.majorityOf(matches.size()), minimumDurableCopies), matches);
  }

  /** Returns the greatest value that a majority of the values reach. */
  private static long greatestMajorityValue(List<Long> values) {
    return greatestValueReachedBy(Quorum.majorityOf(values.size()), values);
  }

  /** Returns the greatest value that {@code count} values reach, or all if there are fewer. */
  private static long greatestValueReachedBy(int count, List<Long> values) {
    List<Long> ordered = new ArrayList<>(values);
    ordered.sort(Comparator.reverseOrder());
    return ordered.isEmpty() ? 0 : ordered.get(Math.min(count, ordered.size()) - 1);
  }

  /** Returns whether a member is responsive and stores all committed entries. */
  boolean isUpToDate(String name, long commitIndex, Instant now) {
    return name.equals(self)
        || (isResponsive(name, now) && otherMembers.get(name).matchIndex() >= commitIndex);
  }

  /** Returns whether a majority of the voters, this leader included, is responsive. */
  boolean isQuorumActive(Membership membership, Instant now) {
    long active =
        membership.voters().stream()
            .filter(voter -> voter.equals(self) || isResponsive(voter, now))
            .count();
    return active * 2 > membership.voters().size();
  }

  /** Returns whether another member responded within the minimum election timeout. */
  boolean isResponsive(String name, Instant now) {
    Progress progress = otherMembers.get(name);
    return progress != null
        && now.isBefore(progress.lastResponseAt().plus(timing.electionTimeout()));
  }

  /**
   * Starts a leadership transfer to the responsive voter with the highest match index. The transfer
   * expires after one election timeout.
   *
   * @return the chosen voter, or empty if none is responsive
   */
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

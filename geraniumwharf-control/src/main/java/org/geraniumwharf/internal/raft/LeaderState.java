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

  static final int MAX_ENTRIES = 512;
  static final int MAX_BYTES = 1 << 20;

  private final String self;
  private final RaftTiming timing;
  private final Map<String, Progress> others = new LinkedHashMap<>();
  private final Deque<Round> rounds = new ArrayDeque<>();
  private final List<PendingRead> reads = new ArrayList<>();

  private long round;
  private long confirmedRound;
  private long barrier = Long.MAX_VALUE;
  private Instant nextHeartbeat;
  private Optional<String> heir = Optional.empty();
  private Instant transferDeadline = Instant.MAX;

  LeaderState(String self, RaftTiming timing, Instant now) {
    this.self = self;
    this.timing = timing;
    this.nextHeartbeat = now.plus(timing.heartbeat());
  }

  /** Follows a change of members; a new one starts with a full lease. */
  void syncMembers(Membership membership, long next, Instant now) {
    Set<String> members = new HashSet<>(membership.voters());
    members.addAll(membership.learners());
    members.remove(self);
    others.keySet().retainAll(members);
    members.forEach(name -> others.computeIfAbsent(name, key -> new Progress(next, now)));
  }

  Set<String> others() {
    return others.keySet();
  }

  Progress progress(String name) {
    return others.get(name);
  }

  long round() {
    return round;
  }

  /** Reads are answered only after the first entry of this leader's term is committed. */
  void barrierAt(long index) {
    barrier = index;
  }

  boolean isHeartbeatDue(Instant now) {
    return !now.isBefore(nextHeartbeat);
  }

  void startRound(Instant now) {
    round++;
    rounds.add(new Round(round, now));
    nextHeartbeat = now.plus(timing.heartbeat());
  }

  /**
   * Returns the start of the newest round that a quorum newly answered; none before the barrier is
   * committed, since until then older entries may be committed without this leader knowing.
   */
  Optional<Instant> confirmRounds(Membership membership, long commit) {
    List<Long> answered = new ArrayList<>();
    for (String voter : membership.voters()) {
      answered.add(voter.equals(self) ? round : roundOf(voter));
    }
    long quorumRound = quorumValue(answered);
    Optional<Instant> start = Optional.empty();
    while (!rounds.isEmpty() && rounds.peek().number() <= quorumRound) {
      Round confirmed = rounds.poll();
      confirmedRound = confirmed.number();
      start = Optional.of(confirmed.start());
    }
    return commit < barrier ? Optional.empty() : start;
  }

  private long roundOf(String voter) {
    Progress progress = others.get(voter);
    return progress == null ? 0 : progress.round();
  }

  void addRead(long id) {
    reads.add(new PendingRead(id, round + 1));
  }

  boolean hasUnsentRead() {
    return reads.stream().anyMatch(read -> read.round() > round);
  }

  List<ConfirmedRead> takeConfirmedReads(long commit) {
    if (commit < barrier) {
      return List.of();
    }
    List<ConfirmedRead> confirmed = new ArrayList<>();
    for (PendingRead read : reads) {
      if (read.round() <= confirmedRound) {
        confirmed.add(new ConfirmedRead(read.id(), commit));
      }
    }
    reads.removeIf(read -> read.round() <= confirmedRound);
    return confirmed;
  }

  /** Returns the newest index of which a majority, and no fewer than some copies, are durable. */
  long quorumMatch(Membership membership, long ownMatch, int minimumCopies) {
    List<Long> matches = new ArrayList<>();
    for (String voter : membership.voters()) {
      if (voter.equals(self)) {
        matches.add(ownMatch);
      } else {
        Progress progress = others.get(voter);
        matches.add(progress == null ? 0 : progress.match());
      }
    }
    return valueReachedBy(Math.max(majorityOf(matches.size()), minimumCopies), matches);
  }

  /** Returns the greatest value that a majority reaches. */
  private static long quorumValue(List<Long> values) {
    return valueReachedBy(majorityOf(values.size()), values);
  }

  private static int majorityOf(int count) {
    return count / 2 + 1;
  }

  /** Returns the greatest value that so many reach, or all if there are fewer. */
  private static long valueReachedBy(int count, List<Long> values) {
    List<Long> ordered = new ArrayList<>(values);
    ordered.sort(Comparator.reverseOrder());
    return ordered.isEmpty() ? 0 : ordered.get(Math.min(count, ordered.size()) - 1);
  }

  /** Tells whether the group is short of voters, or has one that has to be replaced. */
  boolean isVoterWanted(Membership membership, MemberRules rules, Instant now) {
    return membership.voters().size() < rules.wantedVoters()
        || membership.voters().stream().anyMatch(name -> isSilent(name, rules, now));
  }

  /**
   * Returns a silent member that can be removed: a learner, or a voter beyond those wanted, as long
   * as the voters that are current stay a quorum of the rest.
   */
  Optional<String> replaceable(Membership membership, long commit, MemberRules rules, Instant now) {
    Optional<String> learner =
        membership.learners().stream().filter(name -> isSilent(name, rules, now)).findFirst();
    if (learner.isPresent()) {
      return learner;
    }
    int remaining = membership.voters().size() - 1;
    if (remaining < rules.wantedVoters()) {
      return Optional.empty();
    }
    long current =
        membership.voters().stream().filter(name -> isCurrent(name, commit, now)).count();
    return current < Math.max(majorityOf(remaining), rules.minimumCopies())
        ? Optional.empty()
        : membership.voters().stream().filter(name -> isSilent(name, rules, now)).findFirst();
  }

  private boolean isSilent(String name, MemberRules rules, Instant now) {
    Progress progress = others.get(name);
    return progress != null && !now.isBefore(progress.answeredAt().plus(rules.silence()));
  }

  private boolean isCurrent(String name, long commit, Instant now) {
    return name.equals(self) || (isResponsive(name, now) && others.get(name).match() >= commit);
  }

  boolean isQuorumActive(Membership membership, Instant now) {
    long active =
        membership.voters().stream()
            .filter(voter -> voter.equals(self) || isResponsive(voter, now))
            .count();
    return active * 2 > membership.voters().size();
  }

  boolean isEveryVoterCurrent(Membership membership, long commit, Instant now) {
    return membership.voters().stream().allMatch(voter -> isCurrent(voter, commit, now));
  }

  boolean isResponsive(String name, Instant now) {
    Progress progress = others.get(name);
    return progress != null && now.isBefore(progress.answeredAt().plus(timing.election()));
  }

  Optional<String> caughtUpLearner(Membership membership, long commit, Instant now) {
    return membership.learners().stream()
        .filter(name -> isResponsive(name, now) && others.get(name).match() >= commit)
        .findFirst();
  }

  /** Chooses the voter that is furthest ahead; returns it if it can take over at once. */
  Optional<String> startTransfer(List<String> voters, Instant now) {
    heir =
        voters.stream()
            .filter(name -> isResponsive(name, now))
            .max(Comparator.comparingLong(name -> others.get(name).match()));
    transferDeadline = now.plus(timing.election());
    return heir;
  }

  boolean isTransferring() {
    return heir.isPresent();
  }

  void expireTransfer(Instant now) {
    if (!now.isBefore(transferDeadline)) {
      heir = Optional.empty();
      transferDeadline = Instant.MAX;
    }
  }

  Optional<String> heirCaughtUp(long lastIndex) {
    return heir.filter(name -> isCaughtUp(name, lastIndex));
  }

  boolean isCaughtUp(String name, long lastIndex) {
    Progress progress = others.get(name);
    return progress != null && progress.match() == lastIndex;
  }

  List<ReplicaStatus> status(Membership membership, Instant now) {
    List<ReplicaStatus> status = new ArrayList<>();
    others.forEach(
        (name, progress) ->
            status.add(
                ReplicaStatus.of(
                    name,
                    membership.voters().contains(name),
                    progress.match(),
                    Duration.between(progress.answeredAt(), now).toMillis())));
    return status;
  }

  private record Round(long number, Instant start) {}

  private record PendingRead(long id, long round) {}
}

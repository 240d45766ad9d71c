package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.messages.AppendAnswer;
import org.geraniumwharf.schema.messages.AppendRequest;
import org.geraniumwharf.schema.messages.InstallSnapshot;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.messages.ReplicaStatus;
import org.geraniumwharf.schema.messages.TimeoutNow;
import org.geraniumwharf.schema.messages.VoteAnswer;
import org.geraniumwharf.schema.messages.VoteRequest;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;

/**
 * One replica of one replication group, after the Raft algorithm with pre-vote, a quorum check at
 * the leader, quorum-confirmed reads, leadership transfer and one-at-a-time membership changes.
 *
 * <p>Call {@link #tick}, {@link #receive} or {@link #propose}, then {@link #takeOutput}, carry it
 * out, and call {@link #persisted}. Not safe for use by several threads.
 */
public final class RaftCore {

  /**
   * How many times sooner than usual an election may start while this replica has not known a
   * leader since its start. Pre-votes keep it from disturbing a leader that the others hear.
   */
  private static final int START_HASTE = 4;

  private final String group;
  private final String self;
  private final RaftTiming timing;
  private final RandomGenerator random;
  private final RaftLog log;
  private final SnapshotSource snapshots;
  private final MemberRules members;
  private final RaftMessages out;
  private final VoteTally votes = new VoteTally();
  private final List<Outgoing> messages = new ArrayList<>();

  private Role role = Role.FOLLOWER;
  private long term;
  private Optional<String> vote;
  private Optional<String> leader = Optional.empty();
  private long commit;
  private long applied;
  private long persistedIndex;
  private long firstUnpersisted;
  private boolean isHardStateChanged;
  private boolean isRecovering;
  private boolean isAppendPending;
  private boolean hasKnownLeader;
  private Optional<InstalledSnapshot> received = Optional.empty();
  private Instant electionDeadline;
  private Instant leaderHeardAt = Instant.MIN;
  private Instant confirmedAt = Instant.MIN;
  private final Instant startedAt;
  private Optional<LeaderState> leading = Optional.empty();

  private RaftCore(RaftStart start, Instant now) {
    this.group = start.group();
    this.self = start.self();
    this.out = new RaftMessages(group, self);
    this.timing = start.timing();
    this.random = start.random();
    this.snapshots = start.snapshots();
    this.members = start.members();
    this.log =
        RaftLog.startingAfter(
            start.baseIndex(), start.baseTerm(), start.membership(), start.entries());
    this.term = start.hardState().term();
    this.vote = start.hardState().vote();
    this.isRecovering = start.hardState().recovering();
    this.startedAt = now;
    this.commit = start.baseIndex();
    this.applied = start.baseIndex();
    this.persistedIndex = log.lastIndex();
    this.firstUnpersisted = log.lastIndex() + 1;
    this.electionDeadline = drawElectionDeadline(now);
  }

  public static RaftCore create(RaftStart start, Instant now) {
    return new RaftCore(start, now);
  }

  // ------------------------------------------------------------------ inputs

  /** Lets time pass: elections, heartbeats, the quorum check. */
  public void tick(Instant now) {
    if (leading.isPresent()) {
      tickLeader(leading.get(), now);
    } else if (!now.isBefore(electionDeadline)) {
      electionDeadline = drawElectionDeadline(now);
      if (isVoter(self) && !isRecovering) {
        startPreVote(now);
      }
    }
  }

  /** Handles a message of another replica. */
  public void receive(RaftMessage message, Instant now) {
    if (!message.group().equals(group)) {
      return;
    }
    if (message.term() > term && !adoptTerm(message, now)) {
      return;
    }
    if (message.term() < term) {
      answerStale(message);
      return;
    }
    dispatch(message, now);
  }

  /**
   * Appends a command.
   *
   * @return its index; empty when this replica is not the leader or is handing leadership over
   */
  public OptionalLong propose(byte[] payload) {
    if (leading.isEmpty() || leading.get().isTransferring()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(appendOwn(EntryKind.COMMAND, payload));
  }

  /**
   * Asks for an index that covers every change accepted so far.
   *
   * @param id returned with the confirmed read
   * @return false when this replica is not the leader
   */
  public boolean read(long id) {
    if (leading.isEmpty()) {
      return false;
    }
    leading.get().addRead(id);
    return true;
  }

  /** Sends what the inputs since the last flush call for, in as few messages as possible. */
  public void flush(Instant now) {
    if (leading.isEmpty()) {
      return;
    }
    if (leading.get().hasUnsentRead()) {
      broadcast(leading.get(), now);
    } else if (isAppendPending) {
      sendAppends(leading.get(), now);
    }
    isAppendPending = false;
  }

  /**
   * Adds an instance as a learner that becomes a voter once caught up, or removes one. A removal
   * must leave only voters that answer and have caught up, so that it cannot end in a group without
   * a quorum.
   *
   * @return false when this replica is not the leader, another change is under way, or a remaining
   *     voter is behind
   */
  public boolean changeMembership(String name, boolean add, Instant now) {
    if (leading.isEmpty() || log.membershipIndex() > commit) {
      return false;
    }
    Membership changed = MembershipChange.apply(log.membership(), name, add);
    if (!add && !leading.get().isEveryVoterCurrent(changed, commit, now)) {
      return false;
    }
    if (!changed.equals(log.membership())) {
      appendMembership(changed, now);
    }
    return true;
  }

  /** Hands leadership to the replica that is furthest ahead. */
  public void transferLeadership(Instant now) {
    if (leading.isPresent()) {
      Optional<String> heir = leading.get().startTransfer(otherVoters(), now);
      heir.ifPresent(name -> finishTransfer(leading.get(), name));
    }
  }

  /** Tells that everything in the last output is durable. */
  public void persisted() {
    persistedIndex = log.lastIndex();
    firstUnpersisted = persistedIndex + 1;
    leading.ifPresent(this::advanceCommit);
  }

  /** Drops entries that a durable snapshot stands for. */
  public void compactTo(long index) {
    if (index > log.baseIndex() && index <= applied) {
      log.compactTo(index);
    }
  }

  // ------------------------------------------------------------------ output

  /** Returns what must be done now, and starts a new collection. */
  public RaftOutput takeOutput() {
    Optional<HardState> hardState =
        isHardStateChanged ? Optional.of(hardState()) : Optional.empty();
    List<LogEntry> unpersisted =
        firstUnpersisted <= log.lastIndex()
            ? log.between(firstUnpersisted - 1, log.lastIndex())
            : List.of();
    List<LogEntry> committed =
        received.isEmpty() && applied < commit ? log.between(applied, commit) : List.of();
    List<ConfirmedRead> reads =
        leading.map(state -> state.takeConfirmedReads(commit)).orElse(List.of());
    RaftOutput output =
        new RaftOutput(received, hardState, unpersisted, List.copyOf(messages), committed, reads);
    messages.clear();
    isHardStateChanged = false;
    if (received.isPresent()) {
      applied = received.get().index();
      received = Optional.empty();
    } else {
      applied = commit;
    }
    return output;
  }

  public Role role() {
    return role;
  }

  public long term() {
    return term;
  }

  public long commitIndex() {
    return commit;
  }

  public long lastIndex() {
    return log.lastIndex();
  }

  public Optional<String> leader() {
    return leader;
  }

  public Membership membership() {
    return log.membership();
  }

  public Membership membershipAt(long index) {
    return log.membershipAt(index);
  }

  /** Returns the state that a log file must start with. */
  public HardState hardState() {
    return HardState.of(term, vote, commit, isRecovering);
  }

  /** Returns the entries after an index that is held. */
  public List<LogEntry> entriesAfter(long index) {
    return log.between(index, log.lastIndex());
  }

  /** Tells whether this replica is a member that leads or hears a leader. */
  public boolean isJoined(Instant now) {
    boolean isMember = isVoter(self) || log.membership().learners().contains(self);
    boolean isHearing = now.isBefore(leaderHeardAt.plus(timing.election().multipliedBy(2)));
    return isMember && (leading.isPresent() || isHearing);
  }

  public boolean isRecovering() {
    return isRecovering;
  }

  public long termAt(long index) {
    return log.termAt(index);
  }

  /** Returns the time since a quorum last confirmed what this replica knows as committed. */
  public Duration confirmedAge(Instant now) {
    return confirmedAt.equals(Instant.MIN)
        ? Duration.ofDays(1)
        : Duration.between(confirmedAt, now);
  }

  /** Returns the other replicas as this leader sees them; empty for a follower. */
  public List<ReplicaStatus> replicas(Instant now) {
    return leading.map(state -> state.status(log.membership(), now)).orElse(List.of());
  }

  // ---------------------------------------------------------------- elections

  private boolean adoptTerm(RaftMessage message, Instant now) {
    if (message instanceof VoteRequest request) {
      if (request.preVote()) {
        dispatch(message, now);
        return false;
      }
      if (!request.transfer() && isLeaderAlive(now)) {
        return false;
      }
    }
    if (message instanceof VoteAnswer answer && answer.preVote() && answer.granted()) {
      dispatch(message, now);
      return false;
    }
    boolean isFromLeader = message instanceof AppendRequest || message instanceof InstallSnapshot;
    becomeFollower(
        message.term(), isFromLeader ? Optional.of(message.from()) : Optional.empty(), now);
    return true;
  }

  private void answerStale(RaftMessage message) {
    if (message instanceof AppendRequest || message instanceof InstallSnapshot) {
      send(message.from(), out.appendAnswer(term, false, log.lastIndex(), 0));
    } else if (message instanceof VoteRequest request && request.preVote()) {
      send(message.from(), out.voteAnswer(term, true, false));
    }
  }

  private void dispatch(RaftMessage message, Instant now) {
    if (message instanceof VoteRequest request) {
      handleVoteRequest(request, now);
    } else if (message instanceof VoteAnswer answer) {
      handleVoteAnswer(answer, now);
    } else if (message instanceof AppendRequest request) {
      handleAppend(request, now);
    } else if (message instanceof AppendAnswer answer) {
      leading.ifPresent(state -> handleAppendAnswer(state, answer, now));
    } else if (message instanceof InstallSnapshot request) {
      handleSnapshot(request, now);
    } else if (message instanceof TimeoutNow) {
      if (isVoter(self) && leading.isEmpty() && !isRecovering) {
        startElection(true, now);
      }
    }
  }

  private void handleVoteRequest(VoteRequest request, Instant now) {
    boolean isUpToDate =
        request.lastTerm() > log.lastTerm()
            || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
    if (isRecovering) {
      return;
    }
    if (request.preVote()) {
      boolean granted = isUpToDate && request.term() > term && !isLeaderAlive(now);
      long answerTerm = granted ? request.term() : term;
      send(request.from(), out.voteAnswer(answerTerm, true, granted));
      return;
    }
    boolean isFree = vote.isEmpty() || vote.get().equals(request.from());
    boolean granted = isUpToDate && isFree && leading.isEmpty();
    if (granted) {
      vote = Optional.of(request.from());
      isHardStateChanged = true;
      electionDeadline = drawElectionDeadline(now);
    }
    send(request.from(), out.voteAnswer(term, false, granted));
  }

  private void handleVoteAnswer(VoteAnswer answer, Instant now) {
    Role expected = answer.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long expectedTerm = answer.preVote() ? term + 1 : term;
    if (role != expected || !answer.granted() || answer.term() != expectedTerm) {
      return;
    }
    votes.add(answer.from());
    if (votes.isQuorumOf(log.membership())) {
      winRound(now);
    }
  }

  private void winRound(Instant now) {
    if (role == Role.PRE_CANDIDATE) {
      startElection(false, now);
    } else {
      becomeLeader(now);
    }
  }

  private void startPreVote(Instant now) {
    role = Role.PRE_CANDIDATE;
    leader = Optional.empty();
    askForVotes(term + 1, true, false, now);
  }

  private void startElection(boolean isTransfer, Instant now) {
    role = Role.CANDIDATE;
    leader = Optional.empty();
    term++;
    vote = Optional.of(self);
    isHardStateChanged = true;
    electionDeadline = drawElectionDeadline(now);
    askForVotes(term, false, isTransfer, now);
  }

  private void askForVotes(long atTerm, boolean preVote, boolean isTransfer, Instant now) {
    votes.startWith(self);
    if (votes.isQuorumOf(log.membership())) {
      winRound(now);
      return;
    }
    for (String voter : otherVoters()) {
      send(voter, out.voteRequest(atTerm, preVote, isTransfer, log));
    }
  }

  private void becomeFollower(long newTerm, Optional<String> newLeader, Instant now) {
    if (newTerm > term) {
      term = newTerm;
      vote = Optional.empty();
      isHardStateChanged = true;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    leading = Optional.empty();
    electionDeadline = drawElectionDeadline(now);
  }

  private void becomeLeader(Instant now) {
    role = Role.LEADER;
    hasKnownLeader = true;
    leader = Optional.of(self);
    LeaderState state = new LeaderState(self, timing, now);
    state.syncMembers(log.membership(), log.lastIndex() + 1, now);
    leading = Optional.of(state);
    appendOwn(EntryKind.BARRIER, new byte[0]);
    state.barrierAt(log.lastIndex());
    if (members.isManaged() && log.membershipIndex() == 0) {
      appendMembership(log.membership(), now);
    }
  }

  /** A leader heard within the shortest election timeout protects against needless elections. */
  private boolean isLeaderAlive(Instant now) {
    if (leading.isPresent()) {
      return leading.get().isQuorumActive(log.membership(), now);
    }
    return leader.isPresent() && now.isBefore(leaderHeardAt.plus(timing.election()));
  }

  // -------------------------------------------------------------- replication

  private void handleAppend(AppendRequest request, Instant now) {
    followLeader(request.from(), now);
    if (request.previousIndex() < log.baseIndex()) {
      answerAppend(request, true, log.baseIndex());
      return;
    }
    if (!log.matches(request.previousIndex(), request.previousTerm())) {
      answerAppend(request, false, conflictHint(request));
      return;
    }
    long lastNew = request.previousIndex() + request.entries().size();
    request.entries().forEach(this::appendReceived);
    commit = Math.max(commit, Math.min(request.commit(), lastNew));
    if (request.commit() <= lastNew) {
      confirmedSince(now.minusMillis(request.confirmedAgeMillis()));
    }
    answerAppend(request, true, lastNew);
  }

  /**
   * Notes that every entry committed before a time is known here. A replica that lost its disk has
   * then caught up with all that it may have answered for, and may vote again.
   */
  private void confirmedSince(Instant time) {
    if (time.isAfter(confirmedAt)) {
      confirmedAt = time;
    }
    if (isRecovering && confirmedAt.isAfter(startedAt)) {
      isRecovering = false;
      isHardStateChanged = true;
    }
  }

  private void followLeader(String name, Instant now) {
    if (role != Role.FOLLOWER || !leader.equals(Optional.of(name))) {
      becomeFollower(term, Optional.of(name), now);
    }
    hasKnownLeader = true;
    leaderHeardAt = now;
    electionDeadline = drawElectionDeadline(now);
  }

  private void appendReceived(LogEntry entry) {
    if (entry.index() <= log.lastIndex()) {
      if (log.termAt(entry.index()) == entry.term()) {
        return;
      }
      if (entry.index() <= commit) {
        throw new IllegalStateException("a committed entry would be replaced: " + entry.index());
      }
      log.truncateFrom(entry.index());
      persistedIndex = Math.min(persistedIndex, entry.index() - 1);
      firstUnpersisted = Math.min(firstUnpersisted, entry.index());
    }
    log.append(entry);
  }

  private void answerAppend(AppendRequest request, boolean accepted, long match) {
    send(request.from(), out.appendAnswer(term, accepted, match, request.round()));
  }

  private long conflictHint(AppendRequest request) {
    long hint = Math.min(request.previousIndex() - 1, log.lastIndex());
    while (hint > log.baseIndex() && log.termAt(hint) > request.previousTerm()) {
      hint--;
    }
    return hint;
  }

  private void handleAppendAnswer(LeaderState state, AppendAnswer answer, Instant now) {
    Progress progress = state.progress(answer.from());
    if (progress == null) {
      return;
    }
    progress.answered(answer.round(), now);
    if (answer.accepted()) {
      progress.accepted(answer.matchIndex());
      advanceCommit(state);
    } else {
      progress.rejected(answer.matchIndex());
    }
    state.confirmRounds(log.membership(), commit).ifPresent(this::confirmedSince);
    if (progress.next() <= log.lastIndex()) {
      sendAppend(state, answer.from(), now);
    }
    state.heirCaughtUp(log.lastIndex()).ifPresent(heir -> finishTransfer(state, heir));
  }

  private void handleSnapshot(InstallSnapshot request, Instant now) {
    followLeader(request.from(), now);
    if (request.index() > commit) {
      if (log.matches(request.index(), request.indexTerm())) {
        commit = request.index();
      } else {
        log.resetTo(request.index(), request.indexTerm(), request.membership());
        commit = request.index();
        persistedIndex = request.index();
        firstUnpersisted = request.index() + 1;
        received =
            Optional.of(
                InstalledSnapshot.of(
                    request.index(), request.indexTerm(), request.membership(), request.data()));
      }
    }
    send(request.from(), out.appendAnswer(term, true, commit, request.round()));
  }

  private long appendOwn(EntryKind kind, byte[] payload) {
    long index = log.lastIndex() + 1;
    log.append(LogEntry.of(index, term, kind, payload));
    isAppendPending = true;
    return index;
  }

  private void appendMembership(Membership membership, Instant now) {
    LeaderState state = leading.orElseThrow();
    long index = log.lastIndex() + 1;
    log.append(LogEntry.of(index, term, EntryKind.MEMBERSHIP, MembershipChange.encode(membership)));
    state.syncMembers(membership, index, now);
    broadcast(state, now);
  }

  /** Followers hear of a commit with the next flush, not with the next heartbeat. */
  private void advanceCommit(LeaderState state) {
    long candidate = state.quorumMatch(log.membership(), persistedIndex, members.minimumCopies());
    if (candidate > commit && log.termAt(candidate) == term) {
      commit = candidate;
      isAppendPending = true;
    }
  }

  private void tickLeader(LeaderState state, Instant now) {
    if (!state.isQuorumActive(log.membership(), now)) {
      becomeFollower(term, Optional.empty(), now);
      return;
    }
    if (!isVoter(self) && log.membershipIndex() <= commit) {
      becomeFollower(term, Optional.empty(), now);
      return;
    }
    state.expireTransfer(now);
    if (state.isHeartbeatDue(now)) {
      broadcast(state, now);
    }
    if (log.membershipIndex() <= commit) {
      keepMembers(state, now);
    }
  }

  private void keepMembers(LeaderState state, Instant now) {
    Optional<String> replaceable =
        members.isManaged() ? state.replaceable(log.membership(), commit, members, now) : none();
    if (replaceable.isPresent()) {
      appendMembership(MembershipChange.apply(log.membership(), replaceable.get(), false), now);
    } else if (!members.isManaged() || state.isVoterWanted(log.membership(), members, now)) {
      promoteLearner(state, now);
    }
  }

  private static Optional<String> none() {
    return Optional.empty();
  }

  private void promoteLearner(LeaderState state, Instant now) {
    state
        .caughtUpLearner(log.membership(), commit, now)
        .ifPresent(name -> appendMembership(MembershipChange.promote(log.membership(), name), now));
  }

  private void broadcast(LeaderState state, Instant now) {
    state.startRound(now);
    state.confirmRounds(log.membership(), commit).ifPresent(this::confirmedSince);
    sendAppends(state, now);
  }

  private void sendAppends(LeaderState state, Instant now) {
    for (String name : state.others()) {
      sendAppend(state, name, now);
    }
  }

  private void sendAppend(LeaderState state, String name, Instant now) {
    Progress progress = state.progress(name);
    if (progress.next() <= log.baseIndex()) {
      sendSnapshot(state, name, now);
      return;
    }
    long previous = progress.next() - 1;
    List<LogEntry> entries =
        state.isResponsive(name, now)
            ? log.slice(progress.next(), LeaderState.MAX_ENTRIES, LeaderState.MAX_BYTES)
            : List.of();
    send(name, out.append(term, log, previous, entries, commit, state.round(), confirmedAge(now)));
    progress.sentUpTo(previous + entries.size());
  }

  private void sendSnapshot(LeaderState state, String name, Instant now) {
    Progress progress = state.progress(name);
    if (now.isBefore(progress.snapshotSentAt().plus(timing.election().multipliedBy(2)))) {
      return;
    }
    snapshots
        .latest()
        .ifPresent(
            snapshot -> {
              progress.snapshotSent(now);
              send(name, out.installSnapshot(term, snapshot, state.round()));
            });
  }

  private void finishTransfer(LeaderState state, String heir) {
    if (state.isCaughtUp(heir, log.lastIndex())) {
      send(heir, out.timeoutNow(term));
    }
  }

  // ------------------------------------------------------------------ helpers

  private boolean isVoter(String name) {
    return log.membership().voters().contains(name);
  }

  private List<String> otherVoters() {
    return log.membership().voters().stream().filter(name -> !name.equals(self)).toList();
  }

  private Instant drawElectionDeadline(Instant now) {
    long millis = timing.election().toMillis() / (hasKnownLeader ? 1 : START_HASTE);
    return now.plusMillis(millis + random.nextLong(millis));
  }

  private void send(String to, RaftMessage message) {
    messages.add(new Outgoing(to, message));
  }
}

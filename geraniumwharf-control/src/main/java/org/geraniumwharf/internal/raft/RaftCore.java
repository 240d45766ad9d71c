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
import org.geraniumwharf.schema.messages.LeaveOutcome;
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
 * One replica of one replication group. Implements the Raft algorithm with pre-vote, check quorum,
 * read index, leadership transfer and single-server membership changes.
 *
 * <p>After an input such as {@link #tick}, {@link #receive} or {@link #propose}, the caller calls
 * {@link #flush} and {@link #takeOutput}, makes the output durable and calls {@link
 * #markPersisted}. Not thread-safe.
 */
public final class RaftCore {

  /**
   * Divides the election timeout of a replica that has had no leader since it started. The shorter
   * timeout does not disrupt a working leader, because its followers reject the pre-vote.
   */
  private static final int STARTUP_ELECTION_TIMEOUT_DIVISOR = 4;

  /**
   * Election timeouts after its start for which a replica that has had no leader is quick. A group
   * that starts as a whole has elected a leader by then; one without a quorum goes on more slowly.
   */
  private static final int STARTUP_ELECTION_TIMEOUTS = 6;

  /**
   * Divides the election timeout for the least time between the pre-votes of such a replica. The
   * pre-vote asks every voter whether it knows a leader, so nobody has to wait for a timeout. The
   * first ones are lost while the connections are opened.
   */
  private static final int PROBE_INTERVAL_DIVISOR = 12;

  private final String group;
  private final String self;
  private final RaftTiming timing;
  private final RandomGenerator random;
  private final RaftLog log;
  private final DecidingMemberships deciding;
  private final SnapshotSource snapshotSource;
  private final MembershipPolicy membershipPolicy;
  private final MembershipPlanner planner;
  private final RaftMessageFactory messageFactory;
  private final VoteTally votes = new VoteTally();
  private final List<OutgoingMessage> messages = new ArrayList<>();

  private Role role = Role.FOLLOWER;
  private long term;
  private Optional<String> votedFor;
  private Optional<String> leader = Optional.empty();
  private long commitIndex;
  private long appliedIndex;
  private long persistedIndex;
  private long firstUnpersistedIndex;
  private boolean isHardStateChanged;
  private boolean isRecovering;
  private boolean isAppendPending;
  private boolean hasHadLeader;
  private Optional<RaftSnapshot> receivedSnapshot = Optional.empty();
  private Instant electionDeadline;
  private Instant lastLeaderContact = Instant.MIN;

  /** Time until which this replica leaves the election to a candidate that it prefers. */
  private Instant yieldsUntil = Instant.MIN;

  private Instant confirmedAt = Instant.MIN;
  private final Instant startedAt;
  private Optional<LeaderState> leaderState = Optional.empty();

  private RaftCore(RaftInitialState initial, Instant now) {
    this.group = initial.group();
    this.self = initial.self();
    this.messageFactory = new RaftMessageFactory(group, self);
    this.timing = initial.timing();
    this.random = initial.random();
    this.snapshotSource = initial.snapshotSource();
    this.membershipPolicy = initial.membershipPolicy();
    this.planner = MembershipPlanner.of(membershipPolicy);
    this.log =
        RaftLog.startingAfter(
            initial.snapshotIndex(),
            initial.snapshotTerm(),
            initial.membership(),
            initial.entries());
    this.term = initial.hardState().term();
    this.votedFor = initial.hardState().vote();
    this.isRecovering = initial.hardState().recovering();
    this.deciding = new DecidingMemberships(log, initial.hardState().commit());
    this.startedAt = now;
    this.commitIndex = initial.snapshotIndex();
    this.appliedIndex = initial.snapshotIndex();
    this.persistedIndex = log.lastIndex();
    this.firstUnpersistedIndex = log.lastIndex() + 1;
    this.electionDeadline = now.plusMillis(random.nextLong(probeMillis()));
  }

  /** Creates a follower that starts from a durable state. */
  public static RaftCore create(RaftInitialState initial, Instant now) {
    return new RaftCore(initial, now);
  }

  // ------------------------------------------------------------------ inputs

  /** Handles the passage of time: starts elections, sends heartbeats and checks the quorum. */
  public void tick(Instant now) {
    if (leaderState.isPresent()) {
      tickLeader(leaderState.get(), now);
    } else if (!now.isBefore(electionDeadline)) {
      electionDeadline = randomElectionDeadline(now);
      if (isElector() && !isRecovering) {
        startPreVote(now);
      }
    }
  }

  /** Handles a message from another replica. Messages of other groups are ignored. */
  public void receive(RaftMessage message, Instant now) {
    if (!message.group().equals(group)) {
      return;
    }
    if (message.term() > term && !adoptTerm(message, now)) {
      return;
    }
    if (message.term() < term) {
      rejectStale(message);
      return;
    }
    dispatch(message, now);
  }

  /**
   * Appends a command to the log.
   *
   * @return index of the entry, or empty if this replica is not the leader or is transferring
   *     leadership
   */
  public OptionalLong propose(byte[] payload) {
    if (leaderState.isEmpty() || leaderState.get().isTransferring()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(appendAsLeader(EntryKind.COMMAND, payload));
  }

  /**
   * Requests a read index that covers all changes acknowledged so far. {@link #takeOutput} returns
   * it once a quorum has confirmed that this replica still leads.
   *
   * @param id id that is returned with the confirmed read
   * @return false if this replica is not the leader
   */
  public boolean requestReadIndex(long id) {
    if (leaderState.isEmpty()) {
      return false;
    }
    leaderState.get().addRead(id);
    return true;
  }

  /**
   * Queues the messages that the inputs since the last flush require. One batch of messages serves
   * all reads and entries that arrived in between.
   */
  public void flush(Instant now) {
    if (leaderState.isEmpty()) {
      return;
    }
    if (leaderState.get().hasUnsentRead()) {
      broadcast(leaderState.get(), now);
    } else if (isAppendPending) {
      sendAppends(leaderState.get(), now);
    }
    isAppendPending = false;
  }

  /**
   * Adds an instance as a learner, which becomes a voter once it has caught up, or removes an
   * instance. All voters that remain after a removal must be responsive and up to date, so that the
   * removal cannot leave the group without a quorum.
   *
   * @return false if this replica is not the leader, another membership change is uncommitted, or a
   *     remaining voter is not up to date
   */
  public boolean changeMembership(String name, boolean add, Instant now) {
    if (leaderState.isEmpty() || !canChangeMembership(leaderState.get())) {
      return false;
    }
    Optional<Membership> changed =
        planner.change(leaderState.get(), log.membership(), commitIndex, name, add, now);
    changed.ifPresent(membership -> appendIfChanged(membership, now));
    return changed.isPresent();
  }

  /**
   * Lets a voter that is about to stop leave the group, if a learner can take its place. To be
   * called again until the outcome is final; a leader that is about to stop transfers leadership.
   */
  public LeaveOutcome leave(String name, Instant now) {
    if (leaderState.isEmpty() || !canChangeMembership(leaderState.get())) {
      return LeaveOutcome.PENDING;
    }
    if (!isVoter(name)) {
      return LeaveOutcome.LEFT;
    }
    if (!membershipPolicy.isManaged()) {
      return LeaveOutcome.NO_SUCCESSOR;
    }
    if (name.equals(self)) {
      transferLeadership(now);
      return LeaveOutcome.PENDING;
    }
    MembershipPlanner.LeavePlan plan =
        planner.leave(leaderState.get(), log.membership(), commitIndex, name, now);
    plan.next().ifPresent(membership -> appendMembership(membership, now));
    return plan.outcome();
  }

  /** Transfers leadership to the responsive voter with the highest match index. */
  public void transferLeadership(Instant now) {
    if (leaderState.isPresent() && !leaderState.get().isTransferring()) {
      Optional<String> transferee = leaderState.get().startTransfer(otherVoters(), now);
      transferee.ifPresent(name -> sendTimeoutNowIfCaughtUp(leaderState.get(), name));
    }
  }

  /** Records that the snapshot, hard state and entries of the last output are durable. */
  public void markPersisted() {
    persistedIndex = log.lastIndex();
    firstUnpersistedIndex = persistedIndex + 1;
    leaderState.ifPresent(this::advanceCommit);
    isHardStateChanged |= deciding.recordDurableCommit(Math.min(commitIndex, persistedIndex));
  }

  /** Removes the applied entries up to an index that a durable snapshot covers. */
  public void compactTo(long index) {
    if (index > log.snapshotIndex() && index <= appliedIndex) {
      log.compactTo(index);
    }
  }

  // ------------------------------------------------------------------ output

  /** Returns the pending output and clears it. */
  public RaftOutput takeOutput() {
    Optional<HardState> hardState =
        isHardStateChanged ? Optional.of(hardState()) : Optional.empty();
    List<LogEntry> unpersisted =
        firstUnpersistedIndex <= log.lastIndex()
            ? log.entriesBetween(firstUnpersistedIndex - 1, log.lastIndex())
            : List.of();
    List<LogEntry> committed =
        receivedSnapshot.isEmpty() && appliedIndex < commitIndex
            ? log.entriesBetween(appliedIndex, commitIndex)
            : List.of();
    List<ConfirmedRead> reads =
        leaderState.map(state -> state.takeConfirmedReads(commitIndex)).orElse(List.of());
    RaftOutput output =
        new RaftOutput(
            receivedSnapshot, hardState, unpersisted, List.copyOf(messages), committed, reads);
    messages.clear();
    isHardStateChanged = false;
    if (receivedSnapshot.isPresent()) {
      appliedIndex = receivedSnapshot.get().index();
      receivedSnapshot = Optional.empty();
    } else {
      appliedIndex = commitIndex;
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
    return commitIndex;
  }

  public long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the name of the current leader, if it is identified. */
  public Optional<String> leader() {
    return leader;
  }

  /**
   * Returns whether this replica is a voter that started a short while ago and has had no leader
   * since, so that its group is about to elect one.
   */
  public boolean isAwaitingFirstLeader(Instant now) {
    return isVoter(self) && isStartup(now);
  }

  /**
   * Returns whether this replica is a voter that started a short while ago and whose commit index
   * no quorum has confirmed since.
   */
  public boolean isAwaitingFirstConfirmation(Instant now) {
    return isVoter(self) && confirmedAt.equals(Instant.MIN) && hasStartedLately(now);
  }

  /** Returns the newest membership in the log, which may be uncommitted. */
  public Membership membership() {
    return log.membership();
  }

  public Membership membershipAt(long index) {
    return log.membershipAt(index);
  }

  /** Returns the hard state to write at the start of a new log file. */
  public HardState hardState() {
    return HardState.of(term, votedFor, deciding.durableCommitIndex(), isRecovering);
  }

  /** Returns the entries after an index; the log must contain that index. */
  public List<LogEntry> entriesAfter(long index) {
    return log.entriesBetween(index, log.lastIndex());
  }

  /**
   * Returns whether this replica is a member and either leads or had contact with a leader within
   * twice the minimum election timeout.
   */
  public boolean isJoined(Instant now) {
    boolean isMember = isVoter(self) || log.membership().learners().contains(self);
    boolean hasLeaderContact =
        now.isBefore(lastLeaderContact.plus(timing.electionTimeout().multipliedBy(2)));
    return isMember && (leaderState.isPresent() || hasLeaderContact);
  }

  /** Returns whether this replica lost its disk and may not vote until it has caught up. */
  public boolean isRecovering() {
    return isRecovering;
  }

  /** Returns the term of the entry at an index, or -1 if the log does not contain the index. */
  public long termAt(long index) {
    return log.termAt(index);
  }

  /**
   * Returns the time since a quorum last confirmed the commit index of this replica, or one day if
   * that has not happened since the start.
   */
  public Duration confirmedAge(Instant now) {
    return confirmedAt.equals(Instant.MIN)
        ? Duration.ofDays(1)
        : Duration.between(confirmedAt, now);
  }

  /** Returns the state of the other members as seen by this leader; empty if not the leader. */
  public List<ReplicaStatus> replicaStatuses(Instant now) {
    return leaderState.map(state -> state.replicaStatuses(log.membership(), now)).orElse(List.of());
  }

  // ---------------------------------------------------------------- elections

  private boolean adoptTerm(RaftMessage message, Instant now) {
    if (message instanceof VoteRequest request) {
      if (request.preVote()) {
        dispatch(message, now);
        return false;
      }
      if (!request.transfer() && hasActiveLeader(now)) {
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

  private void rejectStale(RaftMessage message) {
    if (message instanceof AppendRequest || message instanceof InstallSnapshot) {
      send(message.from(), messageFactory.appendAnswer(term, false, log.lastIndex(), 0));
    } else if (message instanceof VoteRequest request && request.preVote()) {
      send(message.from(), messageFactory.voteAnswer(term, true, false));
    }
  }

  private void dispatch(RaftMessage message, Instant now) {
    if (message instanceof VoteRequest request) {
      handleVoteRequest(request, now);
    } else if (message instanceof VoteAnswer answer) {
      handleVoteAnswer(answer, now);
    } else if (message instanceof AppendRequest request) {
      handleAppendRequest(request, now);
    } else if (message instanceof AppendAnswer answer) {
      leaderState.ifPresent(state -> handleAppendAnswer(state, answer, now));
    } else if (message instanceof InstallSnapshot request) {
      handleInstallSnapshot(request, now);
    } else if (message instanceof TimeoutNow) {
      if (isElector() && leaderState.isEmpty() && !isRecovering) {
        startElection(true, now);
      }
    }
  }

  private void handleVoteRequest(VoteRequest request, Instant now) {
    if (request.preVote()) {
      handlePreVoteRequest(request, now);
      return;
    }
    boolean canVote = votedFor.isEmpty() || votedFor.get().equals(request.from());
    boolean granted = isUpToDate(request) && canVote && leaderState.isEmpty();
    if (granted) {
      votedFor = Optional.of(request.from());
      isHardStateChanged = true;
      electionDeadline = randomElectionDeadline(now);
      awaitElection(now);
    }
    answerVote(request, granted, term);
  }

  private void handlePreVoteRequest(VoteRequest request, Instant now) {
    boolean granted =
        isUpToDate(request)
            && request.term() > term
            && !hasActiveLeader(now)
            && !isElectionLeftToAnother(request, now);
    if (granted) {
      leaveElectionTo(request, now);
    }
    answerVote(request, granted, granted ? request.term() : term);
  }

  private boolean isUpToDate(VoteRequest request) {
    return request.lastTerm() > log.lastTerm()
        || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
  }

  /**
   * Answers a vote request. A vote that is given by a replica that lost its disk bears the term of
   * the candidate also if it is a pre-vote: for one that does not know such votes it is then a
   * refusal without consequences.
   */
  private void answerVote(VoteRequest request, boolean granted, long answerTerm) {
    if (granted && isRecovering) {
      long candidateTerm = request.preVote() ? request.term() - 1 : request.term();
      send(request.from(), messageFactory.recoveringVote(candidateTerm, request.preVote()));
    } else {
      send(request.from(), messageFactory.voteAnswer(answerTerm, request.preVote(), granted));
    }
  }

  /**
   * Returns whether a pre-vote is refused in favour of another candidate: this replica itself, or
   * the one that it voted for a moment ago. Of the replicas of a group that starts as a whole, each
   * would otherwise get the pre-votes of all, and then no candidate the votes of a quorum. Of two
   * with the same log, the one with the smaller name is preferred; that needs no agreement, since a
   * wrong choice only delays.
   */
  private boolean isElectionLeftToAnother(VoteRequest request, Instant now) {
    if (!isStartup(now)) {
      return false;
    }
    boolean isVoteUnderWay = now.isBefore(yieldsUntil) && votedFor.isPresent();
    boolean isOwnCandidacy = role == Role.PRE_CANDIDATE || role == Role.CANDIDATE;
    boolean isSameLog =
        log.lastTerm() == request.lastTerm() && log.lastIndex() == request.lastIndex();
    return isVoteUnderWay
        ? !votedFor.get().equals(request.from())
        : isOwnCandidacy && isSameLog && self.compareTo(request.from()) < 0;
  }

  /** Ends the own pre-vote for a preferred candidate, which has a moment to be elected. */
  private void leaveElectionTo(VoteRequest request, Instant now) {
    if (isStartup(now) && role == Role.PRE_CANDIDATE && !request.from().equals(self)) {
      role = Role.FOLLOWER;
      electionDeadline = now.plusMillis(2 * probeMillis() + random.nextLong(probeMillis()));
    }
  }

  /**
   * Leaves a candidate that got the vote of this replica the time to collect others. A process that
   * has just started is slow, and another election would take the votes of this one away.
   */
  private void awaitElection(Instant now) {
    if (isStartup(now)) {
      long millis = timing.electionTimeout().toMillis() / 2;
      yieldsUntil = now.plusMillis(millis);
      electionDeadline = yieldsUntil.plusMillis(random.nextLong(millis));
    }
  }

  private void handleVoteAnswer(VoteAnswer answer, Instant now) {
    Role expected = answer.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    boolean isNextTerm = answer.preVote() && answer.granted();
    if (role != expected || answer.term() != (isNextTerm ? term + 1 : term)) {
      return;
    }
    if (answer.granted()) {
      votes.add(answer.from());
    } else if (answer.recovering()) {
      votes.addRecovering(answer.from());
    }
    if (votes.isElectedIn(deciding.get(commitIndex))) {
      handleQuorumGranted(now);
    }
  }

  private void handleQuorumGranted(Instant now) {
    if (role == Role.PRE_CANDIDATE) {
      startElection(false, now);
    } else {
      becomeLeader(now);
    }
  }

  private void startPreVote(Instant now) {
    role = Role.PRE_CANDIDATE;
    leader = Optional.empty();
    requestVotes(term + 1, true, false, now);
  }

  private void startElection(boolean isTransfer, Instant now) {
    role = Role.CANDIDATE;
    leader = Optional.empty();
    term++;
    votedFor = Optional.of(self);
    isHardStateChanged = true;
    electionDeadline = randomElectionDeadline(now);
    awaitElection(now);
    requestVotes(term, false, isTransfer, now);
  }

  private void requestVotes(long candidateTerm, boolean preVote, boolean isTransfer, Instant now) {
    votes.reset(self);
    if (votes.isElectedIn(deciding.get(commitIndex))) {
      handleQuorumGranted(now);
      return;
    }
    for (String voter : deciding.electors(commitIndex)) {
      if (!voter.equals(self)) {
        send(voter, messageFactory.voteRequest(candidateTerm, preVote, isTransfer, log));
      }
    }
  }

  private void becomeFollower(long newTerm, Optional<String> newLeader, Instant now) {
    if (newTerm > term) {
      term = newTerm;
      votedFor = Optional.empty();
      isHardStateChanged = true;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    leaderState = Optional.empty();
    electionDeadline = randomElectionDeadline(now);
  }

  private void becomeLeader(Instant now) {
    role = Role.LEADER;
    hasHadLeader = true;
    leader = Optional.of(self);
    LeaderState state = new LeaderState(self, timing, now);
    state.syncMembers(deciding.get(commitIndex), log.lastIndex() + 1, now);
    leaderState = Optional.of(state);
    appendAsLeader(EntryKind.BARRIER, new byte[0]);
    state.setBarrierIndex(log.lastIndex());
    if (membershipPolicy.isManaged() && log.membershipIndex() == 0) {
      appendMembership(log.membership(), now);
    }
  }

  /**
   * Returns whether votes must be withheld because a leader is working: this replica, if a quorum
   * responds to it, or one that had contact within the minimum election timeout.
   */
  private boolean hasActiveLeader(Instant now) {
    if (leaderState.isPresent()) {
      return leaderState.get().isQuorumActive(log.membership(), now);
    }
    return leader.isPresent() && now.isBefore(lastLeaderContact.plus(timing.electionTimeout()));
  }

  // -------------------------------------------------------------- replication

  private void handleAppendRequest(AppendRequest request, Instant now) {
    followLeader(request.from(), now);
    if (request.previousIndex() < log.snapshotIndex()) {
      sendAppendAnswer(request, true, log.snapshotIndex());
      return;
    }
    if (!log.matches(request.previousIndex(), request.previousTerm())) {
      sendAppendAnswer(request, false, conflictHint(request));
      return;
    }
    long lastNewIndex = request.previousIndex() + request.entries().size();
    request.entries().forEach(this::appendFromLeader);
    commitIndex = Math.max(commitIndex, Math.min(request.commit(), lastNewIndex));
    if (request.commit() <= lastNewIndex) {
      recordConfirmedAt(now.minusMillis(request.confirmedAgeMillis()));
    }
    sendAppendAnswer(request, true, lastNewIndex);
  }

  /**
   * Records that the commit index covers every entry that was committed before {@code time}. If
   * that is after the start of a replica that lost its disk, the log again contains every entry
   * that the replica may have acknowledged before the loss, so it may vote again.
   */
  private void recordConfirmedAt(Instant time) {
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
    hasHadLeader = true;
    lastLeaderContact = now;
    electionDeadline = randomElectionDeadline(now);
  }

  private void appendFromLeader(LogEntry entry) {
    if (entry.index() <= log.lastIndex()) {
      if (log.termAt(entry.index()) == entry.term()) {
        return;
      }
      if (entry.index() <= commitIndex) {
        throw new IllegalStateException(
            "received entry conflicts with the committed entry at index " + entry.index());
      }
      log.truncateFrom(entry.index());
      persistedIndex = Math.min(persistedIndex, entry.index() - 1);
      firstUnpersistedIndex = Math.min(firstUnpersistedIndex, entry.index());
    }
    log.append(entry);
  }

  private void sendAppendAnswer(AppendRequest request, boolean accepted, long match) {
    send(request.from(), messageFactory.appendAnswer(term, accepted, match, request.round()));
  }

  private long conflictHint(AppendRequest request) {
    long hint = Math.min(request.previousIndex() - 1, log.lastIndex());
    while (hint > log.snapshotIndex() && log.termAt(hint) > request.previousTerm()) {
      hint--;
    }
    return hint;
  }

  private void handleAppendAnswer(LeaderState state, AppendAnswer answer, Instant now) {
    Progress progress = state.progress(answer.from());
    if (progress == null) {
      return;
    }
    progress.recordResponse(answer.round(), now);
    if (answer.accepted()) {
      progress.recordAccepted(answer.matchIndex());
      advanceCommit(state);
    } else {
      progress.recordRejected(answer.matchIndex());
    }
    state.confirmRounds(log.membership(), commitIndex).ifPresent(this::recordConfirmedAt);
    if (progress.nextIndex() <= log.lastIndex()) {
      sendAppend(state, answer.from(), now);
    }
    state
        .caughtUpTransferee(log.lastIndex())
        .ifPresent(transferee -> sendTimeoutNowIfCaughtUp(state, transferee));
  }

  private void handleInstallSnapshot(InstallSnapshot request, Instant now) {
    followLeader(request.from(), now);
    if (request.index() > commitIndex) {
      if (log.matches(request.index(), request.indexTerm())) {
        commitIndex = request.index();
      } else {
        log.resetTo(request.index(), request.indexTerm(), request.membership());
        commitIndex = request.index();
        persistedIndex = request.index();
        firstUnpersistedIndex = request.index() + 1;
        receivedSnapshot =
            Optional.of(
                RaftSnapshot.of(
                    request.index(), request.indexTerm(), request.membership(), request.data()));
      }
    }
    send(request.from(), messageFactory.appendAnswer(term, true, commitIndex, request.round()));
  }

  private long appendAsLeader(EntryKind kind, byte[] payload) {
    long index = log.lastIndex() + 1;
    log.append(LogEntry.of(index, term, kind, payload));
    isAppendPending = true;
    return index;
  }

  private void appendIfChanged(Membership membership, Instant now) {
    if (!membership.equals(log.membership())) {
      appendMembership(membership, now);
    }
  }

  private void appendMembership(Membership membership, Instant now) {
    LeaderState state = leaderState.orElseThrow();
    long index = log.lastIndex() + 1;
    log.append(LogEntry.of(index, term, EntryKind.MEMBERSHIP, MembershipChange.encode(membership)));
    state.syncMembers(deciding.get(commitIndex), index, now);
    broadcast(state, now);
  }

  /**
   * Advances the commit index to the highest entry of this term that enough voters have stored.
   * Followers receive the new index with the next flush, without waiting for the next heartbeat.
   */
  private void advanceCommit(LeaderState state) {
    long candidate =
        deciding.get(commitIndex).stream()
            .mapToLong(
                membership ->
                    state.commitCandidate(
                        membership, persistedIndex, membershipPolicy.minimumDurableCopies()))
            .min()
            .orElseThrow();
    if (candidate > commitIndex && log.termAt(candidate) == term) {
      commitIndex = candidate;
      isAppendPending = true;
    }
  }

  private void tickLeader(LeaderState state, Instant now) {
    if (!state.isQuorumActive(log.membership(), now)) {
      becomeFollower(term, Optional.empty(), now);
      return;
    }
    if (!isVoter(self) && log.membershipIndex() <= commitIndex) {
      becomeFollower(term, Optional.empty(), now);
      return;
    }
    state.expireTransfer(now);
    state.syncMembers(deciding.get(commitIndex), log.lastIndex() + 1, now);
    if (state.isHeartbeatDue(now)) {
      broadcast(state, now);
    }
    if (canChangeMembership(state)) {
      planner
          .maintain(state, log.membership(), commitIndex, now)
          .ifPresent(membership -> appendMembership(membership, now));
    }
  }

  private void broadcast(LeaderState state, Instant now) {
    state.startRound(now);
    state.confirmRounds(log.membership(), commitIndex).ifPresent(this::recordConfirmedAt);
    sendAppends(state, now);
  }

  private void sendAppends(LeaderState state, Instant now) {
    for (String name : state.otherMembers()) {
      sendAppend(state, name, now);
    }
  }

  private void sendAppend(LeaderState state, String name, Instant now) {
    Progress progress = state.progress(name);
    if (progress.nextIndex() <= log.snapshotIndex()) {
      sendSnapshot(state, name, now);
      return;
    }
    long previous = progress.nextIndex() - 1;
    List<LogEntry> entries =
        state.isResponsive(name, now)
            ? log.slice(
                progress.nextIndex(),
                LeaderState.MAX_ENTRIES_PER_APPEND,
                LeaderState.MAX_PAYLOAD_BYTES_PER_APPEND)
            : List.of();
    send(
        name,
        messageFactory.appendRequest(
            term, log, previous, entries, commitIndex, state.round(), confirmedAge(now)));
    progress.recordSentUpTo(previous + entries.size());
  }

  private void sendSnapshot(LeaderState state, String name, Instant now) {
    Progress progress = state.progress(name);
    if (now.isBefore(progress.snapshotSentAt().plus(timing.electionTimeout().multipliedBy(2)))) {
      return;
    }
    snapshotSource
        .latest()
        .ifPresent(
            snapshot -> {
              progress.recordSnapshotSent(now);
              send(name, messageFactory.installSnapshot(term, snapshot, state.round()));
            });
  }

  private void sendTimeoutNowIfCaughtUp(LeaderState state, String transferee) {
    if (state.isCaughtUp(transferee, log.lastIndex())) {
      send(transferee, messageFactory.timeoutNow(term));
    }
  }

  // ------------------------------------------------------------------ helpers

  /**
   * Returns whether this leader may append another membership. It must know what the leaders before
   * it have committed, which it does from the commit of its first entry on.
   */
  private boolean canChangeMembership(LeaderState state) {
    return log.membershipIndex() <= commitIndex && state.isBarrierCommitted(commitIndex);
  }

  private boolean isElector() {
    return deciding.electors(commitIndex).contains(self);
  }

  private boolean isVoter(String name) {
    return log.membership().voters().contains(name);
  }

  private List<String> otherVoters() {
    return log.membership().voters().stream().filter(name -> !name.equals(self)).toList();
  }

  /** Returns whether this replica started a short while ago and has had no leader since. */
  private boolean isStartup(Instant now) {
    return !hasHadLeader && hasStartedLately(now);
  }

  private boolean hasStartedLately(Instant now) {
    Duration startup = timing.electionTimeout().multipliedBy(STARTUP_ELECTION_TIMEOUTS);
    return now.isBefore(startedAt.plus(startup));
  }

  private long probeMillis() {
    return Math.max(1, timing.electionTimeout().toMillis() / PROBE_INTERVAL_DIVISOR);
  }

  private Instant randomElectionDeadline(Instant now) {
    if (isStartup(now)) {
      return now.plusMillis(probeMillis() + random.nextLong(probeMillis()));
    }
    long millis =
        timing.electionTimeout().toMillis() / (hasHadLeader ? 1 : STARTUP_ELECTION_TIMEOUT_DIVISOR);
    return now.plusMillis(millis + random.nextLong(millis));
  }

  private void send(String to, RaftMessage message) {
    messages.add(new OutgoingMessage(to, message));
  }
}

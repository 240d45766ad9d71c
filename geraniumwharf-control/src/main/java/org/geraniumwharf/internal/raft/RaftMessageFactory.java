package org.geraniumwharf.internal.raft;

import java.time.Duration;
import java.util.List;
import org.geraniumwharf.schema.messages.AppendAnswer;
import org.geraniumwharf.schema.messages.AppendRequest;
import org.geraniumwharf.schema.messages.InstallSnapshot;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.messages.TimeoutNow;
import org.geraniumwharf.schema.messages.VoteAnswer;
import org.geraniumwharf.schema.messages.VoteRequest;
import org.geraniumwharf.schema.state.LogEntry;

/** Creates the messages of one replica, each with its group and sender. */
final class RaftMessageFactory {

  private final String group;
  private final String self;

  RaftMessageFactory(String group, String self) {
    this.group = group;
    this.self = self;
  }

  RaftMessage voteRequest(long term, boolean isPreVote, boolean isTransfer, RaftLog log) {
    return VoteRequest.of(
        group, self, term, isPreVote, isTransfer, log.lastIndex(), log.lastTerm());
  }

  RaftMessage voteAnswer(long term, boolean isPreVote, boolean isGranted) {
    return VoteAnswer.of(group, self, term, isPreVote, isGranted, false);
  }

  /** Creates the vote of a replica that lost its disk. */
  RaftMessage recoveringVote(long term, boolean isPreVote) {
    return VoteAnswer.of(group, self, term, isPreVote, false, true);
  }

  RaftMessage appendRequest(
      long term,
      RaftLog log,
      long previousIndex,
      List<LogEntry> entries,
      long commitIndex,
      long round,
      Duration confirmedAge) {
    long ageMillis = Math.min(Integer.MAX_VALUE, confirmedAge.toMillis());
    return AppendRequest.of(
        group,
        self,
        term,
        previousIndex,
        log.termAt(previousIndex),
        entries,
        commitIndex,
        round,
        ageMillis);
  }

  RaftMessage appendAnswer(long term, boolean isAccepted, long matchIndex, long round) {
    return AppendAnswer.of(group, self, term, isAccepted, matchIndex, round);
  }

  RaftMessage installSnapshot(long term, RaftSnapshot snapshot, long round) {
    return InstallSnapshot.of(
        group,
        self,
        term,
        snapshot.index(),
        snapshot.term(),
        snapshot.membership(),
        snapshot.data(),
        round);
  }

  RaftMessage timeoutNow(long term) {
    return TimeoutNow.of(group, self, term);
  }
}

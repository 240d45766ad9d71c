package org.geraniumwharf.internal.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.AppendRequest;
import org.geraniumwharf.schema.messages.VoteRequest;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.Test;

class RaftCoreTest {

  private static final Instant START = Instant.EPOCH;
  private static final Duration ELECTION = Duration.ofMillis(800);
  private static final Membership GROUP = Membership.of(List.of("c-1", "c-2", "c-3"), List.of());

  private final RaftCore core =
      RaftCore.create(
          new SimulatedDisk()
              .initialState(
                  "c-1",
                  RaftTiming.of(Duration.ofMillis(100), ELECTION),
                  GROUP,
                  new SplittableRandom(7),
                  MembershipPolicy.manual()),
          START);

  @Test
  void should_request_votes_within_half_an_election_timeout_of_start() {
    boolean hasRequestedVotes = requestsVotesBefore(START, START.plus(ELECTION.dividedBy(2)));

    assertTrue(
        hasRequestedVotes, "no votes were requested within half an election timeout of the start");
  }

  @Test
  void should_start_no_election_within_an_election_timeout_of_leader_contact() {
    receiveLeaderHeartbeat(START);

    boolean hasRequestedVotes = requestsVotesBefore(START, START.plus(ELECTION));

    assertFalse(
        hasRequestedVotes,
        "an election started within one election timeout of contact with the leader");
  }

  private void receiveLeaderHeartbeat(Instant now) {
    core.receive(AppendRequest.of("main", "c-2", 1, 0, 0, List.of(), 0, 0, 0), now);
    core.takeOutput();
    core.markPersisted();
    assertEquals(Optional.of("c-2"), core.leader());
  }

  private boolean requestsVotesBefore(Instant from, Instant end) {
    boolean hasRequestedVotes = false;
    for (Instant now = from; now.isBefore(end); now = now.plusMillis(10)) {
      core.tick(now);
      hasRequestedVotes |=
          core.takeOutput().messages().stream()
              .anyMatch(sent -> sent.message() instanceof VoteRequest);
      core.markPersisted();
    }
    return hasRequestedVotes;
  }
}

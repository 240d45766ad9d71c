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
              .start(
                  "c-1",
                  RaftTiming.of(Duration.ofMillis(100), ELECTION),
                  GROUP,
                  new SplittableRandom(7),
                  MemberRules.manual()),
          START);

  @Test
  void should_ask_for_votes_soon_after_its_start() {
    boolean hasAsked = asksForVotesBefore(START, START.plus(ELECTION.dividedBy(2)));

    assertTrue(hasAsked, "no vote was asked for within half an election timeout of the start");
  }

  @Test
  void should_give_a_leader_that_it_followed_the_whole_election_timeout() {
    hearLeader(START);

    boolean hasAsked = asksForVotesBefore(START, START.plus(ELECTION));

    assertFalse(hasAsked, "the leader was given up before the election timeout");
  }

  private void hearLeader(Instant now) {
    core.receive(AppendRequest.of("main", "c-2", 1, 0, 0, List.of(), 0, 0, 0), now);
    core.takeOutput();
    core.persisted();
    assertEquals(Optional.of("c-2"), core.leader());
  }

  private boolean asksForVotesBefore(Instant from, Instant end) {
    boolean hasAsked = false;
    for (Instant now = from; now.isBefore(end); now = now.plusMillis(10)) {
      core.tick(now);
      hasAsked |=
          core.takeOutput().messages().stream()
              .anyMatch(sent -> sent.message() instanceof VoteRequest);
      core.persisted();
    }
    return hasAsked;
  }
}

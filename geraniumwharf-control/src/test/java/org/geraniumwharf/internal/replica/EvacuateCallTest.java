package org.geraniumwharf.internal.replica;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuateCall;
import org.geraniumwharf.schema.messages.EvacuationOutcome;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Orders to evacuate a data centre at a leader. */
class EvacuateCallTest {

  private static final Duration DAEMON_LEASE = Duration.ofSeconds(3);
  private static final ControlOptions OPTIONS =
      new ControlOptions(
          "c-1",
          List.of("c-1"),
          Path.of("unused"),
          Duration.ofMillis(20),
          Duration.ofMillis(60),
          1000,
          Duration.ofSeconds(2),
          DAEMON_LEASE,
          Duration.ofHours(1),
          1000,
          ControlOptions.MEMBERS_BY_OPERATORS,
          Instant.EPOCH);
  private static final long TOO_OLD_MILLIS = 2500;

  private final Instant startedAt = Instant.now();
  private volatile Duration jump = Duration.ZERO;
  private final ReplicaRunner runner = start();

  @AfterEach
  void stop() throws Exception {
    runner.shutdown().get(30, SECONDS);
  }

  @Test
  void should_accept_an_order_for_the_data_centre_of_a_live_instance() throws Exception {
    long index = confirmedIndex();
    heartbeat("dc-2");

    EvacuateAnswer answer = (EvacuateAnswer) call(EvacuateCall.of("dc-2", true, index, 0));

    assertEquals(EvacuationOutcome.ACCEPTED, answer.outcome());
    assertTrue(answer.changedIndex() > index);
  }

  @Test
  void should_tell_that_a_data_centre_is_unknown_once_all_instances_were_heard() throws Exception {
    long index = confirmedIndex();
    heartbeat("dc-2");
    jump = DAEMON_LEASE;

    assertEquals(
        EvacuateAnswer.of(EvacuationOutcome.UNKNOWN, 0),
        call(EvacuateCall.of("dc-3", true, index, 0)));
  }

  /** Guards against a refusal by a new leader, which has not heard of all instances. */
  @Test
  void should_not_tell_that_a_data_centre_is_unknown_before_all_instances_were_heard()
      throws Exception {
    long index = confirmedIndex();

    assertFailed(call(EvacuateCall.of("dc-2", true, index, 0)));
  }

  /** Guards against an order that takes effect long after its operator gave it up. */
  @Test
  void should_not_propose_an_order_that_is_too_old() throws Exception {
    long index = confirmedIndex();
    heartbeat("dc-2");

    assertFailed(call(EvacuateCall.of("dc-2", true, index, TOO_OLD_MILLIS)));
    assertEquals(index, confirmedIndex());
  }

  @Test
  void should_not_propose_an_order_whose_index_is_not_applied() throws Exception {
    long index = confirmedIndex();
    heartbeat("dc-2");

    assertFailed(call(EvacuateCall.of("dc-2", true, index + 1, 0)));
    assertEquals(index, confirmedIndex());
  }

  private static void assertFailed(ControlAnswer answer) {
    assertEquals("control-unavailable", assertInstanceOf(CallFailed.class, answer).kind());
  }

  private long confirmedIndex() throws Exception {
    ControlAnswer answer = call(ReadIndexCall.of("daemon"));
    while (!(answer instanceof ReadIndexAnswer)) {
      answer = call(ReadIndexCall.of("daemon"));
    }
    return ((ReadIndexAnswer) answer).index();
  }

  private void heartbeat(String dataCentre) throws Exception {
    call(
        HeartbeatCall.of(
            DaemonStatus.of("daemon", 1, dataCentre, 0, 0, true, false, ""),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            Optional.empty()));
  }

  private ControlAnswer call(PeerMessage call) throws Exception {
    return runner.call(call).get(30, SECONDS);
  }

  private Instant now() {
    return Instant.now().plus(jump);
  }

  private ReplicaRunner start() {
    ReplicaStorage storage = new MemoryStorage();
    RaftInitialState initial =
        new RaftInitialState(
            "main",
            "c-1",
            RaftTiming.of(OPTIONS.heartbeatInterval(), OPTIONS.electionTimeout()),
            HardState.of(0, Optional.empty(), 0, false),
            0,
            0,
            Membership.of(List.of("c-1"), List.of()),
            List.of(),
            storage,
            new SplittableRandom(1));
    return ReplicaRunner.start(
        OPTIONS,
        RaftCore.create(initial, startedAt),
        storage,
        (to, message) -> {},
        EventLog.none(),
        this::now);
  }

  private static final class MemoryStorage implements ReplicaStorage {

    private final List<LogEntry> entries = new ArrayList<>();

    @Override
    public void append(Optional<HardState> hardState, List<LogEntry> appended) {
      entries.addAll(appended);
    }

    @Override
    public void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained) {}

    @Override
    public long usableBytes() {
      return Long.MAX_VALUE;
    }

    @Override
    public Optional<RaftSnapshot> latest() {
      return Optional.empty();
    }
  }
}

package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.CrashEvidence;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.junit.jupiter.api.Test;

class LeaderDutiesTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final Duration DAEMON_LEASE = Duration.ofSeconds(3);
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final long START = NOW.toEpochMilli();
  private static final long START_BY_A_CLOCK_BEHIND = START - 60_000;

  private final ControlState state = ControlState.empty();
  private final LeaderDuties duties = new LeaderDuties(options(), EventLog.none());

  // Guards against an entry instance that is not counted because its clock was set back.
  @Test
  void should_count_an_instance_that_started_again_with_its_clock_behind() {
    duties.startLeadership(state, NOW);
    duties.receiveHeartbeat(heartbeat(START), state, NOW);

    Instant now = NOW;
    while (now.isBefore(NOW.plus(DAEMON_LEASE.multipliedBy(2)))) {
      now = now.plus(HEARTBEAT);
      duties.receiveHeartbeat(heartbeat(START_BY_A_CLOCK_BEHIND), state, now);
    }

    assertEquals(1, duties.liveEntryInstances(now));
  }

  @Test
  void should_ignore_a_late_heartbeat_of_the_process_before() {
    duties.startLeadership(state, NOW);
    duties.receiveHeartbeat(heartbeat(START), state, NOW);

    duties.receiveHeartbeat(heartbeat(START - 1), state, NOW.plus(HEARTBEAT));

    assertEquals(
        List.of(START),
        duties.liveDaemons(NOW.plus(HEARTBEAT)).stream().map(DaemonStatus::incarnation).toList());
  }

  // Guards against a part that all requests share, refused because requests under way at the
  // crashes
  // of another part are reported before those with the cause.
  @Test
  void should_wait_for_the_cause_when_one_instance_reports_requests_under_way_first() {
    duties.startLeadership(state, NOW);
    for (int i = 0; i < 4; i++) {
      duties.receiveHeartbeat(crash(i, "first", true), state, NOW);
    }
    for (int i = 0; i < 4; i++) {
      duties.receiveHeartbeat(crash(i, "bad", false), state, NOW.plus(HEARTBEAT));
    }

    duties.receiveHeartbeat(heartbeat(START), state, NOW.plusSeconds(5));

    assertEquals(List.of("bad"), duties.quarantinedParts());
  }

  @Test
  void should_quarantine_a_part_without_another_crash_once_all_reports_had_time_to_arrive() {
    duties.startLeadership(state, NOW);
    for (int i = 0; i < 4; i++) {
      duties.receiveHeartbeat(crash(i, "bad", true), state, NOW);
    }

    duties.receiveHeartbeat(heartbeat(START), state, NOW.plusSeconds(5));

    assertEquals(List.of("bad"), duties.quarantinedParts());
  }

  /** Guards against speeds of targets that a new leader takes from an earlier term of its own. */
  @Test
  void should_sum_up_the_speeds_that_daemons_report_and_forget_them_with_a_new_term() {
    duties.startLeadership(state, NOW);
    HeartbeatCall slow =
        heartbeat(START).withTargetSpeeds(List.of(TargetSpeed.of("target-1", 30, 500)));
    duties.receiveHeartbeat(slow, state, NOW);

    assertEquals(
        List.of("target-1"), duties.unusualSpeeds(NOW).stream().map(TargetSpeed::target).toList());
    duties.startLeadership(state, NOW);
    assertEquals(List.of(), duties.unusualSpeeds(NOW));
  }

  private static HeartbeatCall crash(int target, String part, boolean isProven) {
    return heartbeat(START)
        .withCrashEvidence(
            List.of(CrashEvidence.of("target-" + target, 1, List.of(part), isProven)));
  }

  private static HeartbeatCall heartbeat(long incarnation) {
    return HeartbeatCall.of(
        DaemonStatus.of("entry-1", incarnation, "dc-1", 1, 1, true, false, ""),
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
        Optional.empty());
  }

  private static ControlOptions options() {
    return new ControlOptions(
        "control-1",
        List.of("control-1"),
        Path.of("unused"),
        Duration.ofMillis(50),
        Duration.ofMillis(300),
        1000,
        Duration.ofSeconds(5),
        DAEMON_LEASE,
        Duration.ofHours(1),
        1000,
        ControlOptions.MEMBERS_BY_OPERATORS,
        Instant.EPOCH);
  }
}

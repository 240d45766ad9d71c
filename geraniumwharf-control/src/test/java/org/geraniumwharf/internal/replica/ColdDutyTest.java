package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.EntryRank;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.objects.ColdLimit;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;
import org.junit.jupiter.api.Test;

class ColdDutyTest {

  private static final Instant NOW = Instant.ofEpochSecond(1_000_000);
  private static final long START_MILLIS = 3000;
  private static final long TICK_MILLIS = 50;
  private static final long SEQUENCE_STEP = 16;
  private static final Duration CONFIRMED = Duration.ofMillis(100);

  private final ControlState state = ControlState.empty();
  private LeaderDuties duties = leader();
  private final List<AnnounceCommand> announced = new ArrayList<>();
  private final List<LapseTargetCommand> lapsed = new ArrayList<>();
  private long index;
  private Instant now = NOW;
  private long sequence;

  private LeaderDuties leader() {
    return new LeaderDuties(options(), EventLog.none());
  }

  private void publish(Optional<ColdLimit> cold) {
    RelayService service =
        RelayService.of("engines", Optional.empty(), 100, Optional.empty(), cold);
    apply(
        List.of(
            PublishCommand.of(
                "publish-" + index,
                "amina",
                state.configuration().version(),
                "digest-" + index,
                List.of(service),
                List.of(),
                1,
                Optional.empty(),
                Optional.empty())));
  }

  private void startWarm() {
    duties.startLeadership(state, now);
    hear(1, 0);
    publish(Optional.of(ColdLimit.of(START_MILLIS, 9.9)));
  }

  private void apply(List<Command> commands) {
    for (Command command : commands) {
      state.apply(++index, command);
      if (command instanceof AnnounceCommand announce) {
        announced.add(announce);
      } else if (command instanceof LapseTargetCommand lapse) {
        lapsed.add(lapse);
      }
    }
  }

  /** Receives the next announcement of a process of the target. */
  private void hear(long incarnation, long coldMillis) {
    sequence += SEQUENCE_STEP;
    apply(duties.receiveHeartbeat(heartbeat(incarnation, coldMillis), state, now));
  }

  private HeartbeatCall heartbeat(long incarnation, long coldMillis) {
    return call("entry-1", List.of(announcement(incarnation, coldMillis)));
  }

  private static HeartbeatCall call(String daemon, List<Announcement> announcements) {
    return HeartbeatCall.of(
        DaemonStatus.of(daemon, 1, "dc-1", 1, 1, true, false, ""),
        announcements,
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

  private Announcement announcement(long incarnation, long coldMillis) {
    return Announcement.of(
        "engine-1",
        incarnation,
        sequence,
        "http://127.0.0.1:9",
        "dc-1",
        TargetKind.SERVICE,
        Optional.of("engines"),
        Optional.empty(),
        List.of(),
        Optional.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        1,
        coldMillis);
  }

  private void pass(long millis) {
    Instant end = now.plusMillis(millis);
    while (now.isBefore(end)) {
      now = now.plusMillis(TICK_MILLIS);
      apply(duties.tick(state, now));
    }
  }

  private TargetRecord target() {
    return state.target("engine-1").orElseThrow();
  }

  private long recordedCold() {
    return target().announcement().coldMillis();
  }

  // Guards against a change of the view with each heartbeat of a cold target.
  @Test
  void should_record_the_begin_and_the_end_once_while_the_time_left_shrinks() {
    startWarm();
    announced.clear();

    for (long left = 4000; left > 0; left -= 500) {
      hear(1, left + left % 300);
      pass(500);
    }
    hear(1, 0);
    hear(1, 0);

    assertEquals(
        List.of(4100L, 0L),
        announced.stream().map(change -> change.announcement().coldMillis()).toList());
  }

  @Test
  void should_record_an_end_that_moves() {
    startWarm();
    hear(1, 2000);
    pass(500);
    announced.clear();

    hear(1, 2500);
    pass(500);
    hear(1, 600);

    assertEquals(
        List.of(2500L, 600L),
        announced.stream().map(change -> change.announcement().coldMillis()).toList());
  }

  @Test
  void should_record_an_end_that_no_heartbeat_reports_and_let_the_target_expire_as_before() {
    startWarm();
    hear(1, 1000);

    pass(1400);
    assertEquals(1000, recordedCold());
    pass(200);
    assertEquals(0, recordedCold());
    for (int i = 0; i < 20; i++) {
      pass(500);
      duties.receiveHeartbeat(call("entry-1", List.of()), state, now);
    }
    assertTrue(target().lapsed());

    assertEquals(1, lapsed.size());
  }

  @Test
  void should_take_the_next_heartbeat_after_an_end_that_the_leader_recorded() {
    startWarm();
    hear(1, 1000);
    pass(1600);

    hear(1, 700);

    assertEquals(700, recordedCold());
  }

  // Guards against a leave that is ignored, since its sequence is that of the recorded end, and
  // against a record that never expires, since its lease has an older sequence.
  @Test
  void should_take_a_leave_whose_sender_had_not_seen_the_end_that_the_leader_recorded() {
    startWarm();
    hear(1, 1000);
    Announcement leave = announcement(1, 0).withLeaving(true).withSequence(sequence + 1);
    pass(1600);
    assertEquals(leave.sequence(), target().announcement().sequence());

    apply(duties.receiveHeartbeat(call("entry-1", List.of(leave)), state, now));

    assertTrue(target().announcement().leaving());
    for (int i = 0; i < 20; i++) {
      pass(500);
      duties.receiveHeartbeat(call("entry-1", List.of()), state, now);
    }
    assertTrue(target().lapsed());
  }

  // Guards against a new process that is taken to be warm since its first heartbeat says so.
  @Test
  void should_take_a_new_process_to_be_cold_for_the_time_of_its_service() {
    startWarm();

    hear(2, 0);
    assertEquals(START_MILLIS, recordedCold());
    pass(2000);
    hear(2, 0);
    assertEquals(START_MILLIS, recordedCold());
    pass(1000);
    hear(2, 0);

    assertEquals(0, recordedCold());
  }

  @Test
  void should_take_a_new_process_to_be_cold_for_longer_if_it_says_so() {
    startWarm();

    hear(2, 5000);

    assertEquals(5000, recordedCold());
  }

  @Test
  void should_not_take_a_target_that_expired_and_came_back_for_a_new_process() {
    startWarm();
    for (int i = 0; i < 20; i++) {
      pass(500);
      duties.receiveHeartbeat(call("entry-1", List.of()), state, now);
    }
    assertTrue(target().lapsed());

    hear(1, 0);

    assertEquals(0, recordedCold());
  }

  @Test
  void should_record_a_target_that_becomes_cold_again() {
    startWarm();
    hear(1, 1000);
    pass(1000);
    hear(1, 0);
    pass(4000);

    hear(1, 1500);

    assertEquals(1500, recordedCold());
    pass(2100);
    assertEquals(0, recordedCold());
  }

  // Guards against a new process that is warm too early because another leader was elected.
  @Test
  void should_keep_a_new_process_cold_when_the_leader_is_lost() {
    startWarm();
    hear(2, 0);
    pass(1000);

    duties = leader();
    duties.startLeadership(state, now);
    hear(2, 0);
    pass(2900);
    assertEquals(START_MILLIS, recordedCold());
    pass(700);

    assertEquals(0, recordedCold());
  }

  @Test
  void should_ignore_that_a_target_is_cold_without_a_rate_of_its_service() {
    duties.startLeadership(state, now);
    publish(Optional.empty());

    hear(1, 3000);
    hear(2, 2000);

    assertEquals(0, recordedCold());
    assertEquals(Optional.empty(), rank("entry-1"));
  }

  private Optional<EntryRank> rank(String daemon) {
    HeartbeatCall call = call(daemon, List.of());
    duties.receiveHeartbeat(call, state, now);
    return duties.entryRank(call, state, CONFIRMED, now);
  }

  @Test
  void should_rank_the_live_entry_instances_once_the_ranks_of_an_earlier_leader_have_expired() {
    startWarm();

    Instant from = NOW.plusMillis(3550);
    while (now.isBefore(from)) {
      assertEquals(Optional.empty(), rank("entry-1"));
      assertEquals(Optional.empty(), rank("entry-2"));
      pass(TICK_MILLIS);
    }

    assertEquals(Optional.of(EntryRank.of(0, 2)), rank("entry-1"));
    assertEquals(Optional.of(EntryRank.of(1, 2)), rank("entry-2"));
    assertEquals(Optional.empty(), rank("entry-3"));
    for (int i = 0; i < 61; i++) {
      assertEquals(Optional.empty(), rank("entry-3"));
      rank("entry-1");
      rank("entry-2");
      pass(TICK_MILLIS);
    }
    assertEquals(Optional.of(EntryRank.of(2, 3)), rank("entry-3"));
    assertEquals(
        Optional.empty(),
        duties.entryRank(call("entry-1", List.of()), state, Duration.ofMillis(501), now));
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
        Duration.ofSeconds(3),
        Duration.ofHours(1),
        1000,
        ControlOptions.MEMBERS_BY_OPERATORS,
        Instant.EPOCH);
  }
}

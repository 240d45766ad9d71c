package org.geraniumwharf.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.geraniumwharf.quarantine.PartQuarantine.LeaderLists;
import org.geraniumwharf.quarantine.PartQuarantine.Report;
import org.geraniumwharf.schema.messages.CrashEvidence;
import org.junit.jupiter.api.Test;

class PartQuarantineTest {

  private static final Instant START = Instant.ofEpochSecond(1000);

  private final CrashLedger leader = CrashLedger.create();
  private final PartQuarantine one = PartQuarantine.create();
  private final PartQuarantine other = PartQuarantine.create();

  /** Sends a heartbeat of an instance to the leader and applies the answer. */
  private static void heartbeat(
      PartQuarantine instance, long term, CrashLedger ledger, Instant now) {
    Report report = instance.report();
    report.quarantinedParts().forEach(part -> ledger.adopt(part, now));
    report.soundParts().forEach(ledger::recordSound);
    report.crashes().forEach(evidence -> ledger.recordCrash(evidence, now));
    ledger.quarantineReported(now);
    instance.applyAnswer(
        report, new LeaderLists(term, ledger.suspectedParts(), ledger.quarantinedParts()), now);
  }

  private void heartbeats(Instant now) {
    heartbeat(one, 1, leader, now);
    heartbeat(other, 1, leader, now);
    heartbeat(one, 1, leader, now);
  }

  private static boolean isRefused(PartQuarantine instance, String part, Instant now) {
    return instance.findQuarantined(List.of(part), now).isPresent();
  }

  @Test
  void should_join_the_evidence_of_several_instances() {
    one.recordCrash("target-1", 1, List.of("bad", "a"), START);
    other.recordCrash("target-2", 1, List.of("bad", "b"), START);
    heartbeats(START);

    one.recordCrash("target-3", 1, List.of("bad", "c"), START);
    heartbeats(START);

    assertTrue(isRefused(one, "bad", START));
    assertTrue(isRefused(other, "bad", START));
    assertFalse(isRefused(one, "a", START));
  }

  @Test
  void should_suspect_at_all_instances_what_crashed_at_one() {
    one.recordCrash("target-1", 1, List.of("bad"), START);

    heartbeats(START);

    assertTrue(other.isAnySuspected(List.of("first", "bad"), 1, START));
    assertFalse(other.isAnySuspected(List.of("first"), 1, START));
  }

  @Test
  void should_clear_everywhere_what_another_instance_had_answered() {
    one.recordCrash("target-1", 1, List.of("shared"), START);
    one.recordCrash("target-2", 1, List.of("shared"), START);
    heartbeats(START);

    other.recordSound(List.of("shared"), START);
    heartbeat(other, 1, leader, START);
    heartbeat(one, 1, leader, START);
    one.recordCrash("target-3", 1, List.of("shared"), START);
    heartbeats(START);

    assertFalse(isRefused(one, "shared", START));
    assertEquals(1, leader.crashes("shared"));
  }

  @Test
  void should_suspect_parts_without_a_recent_answer_first() {
    one.recordSound(List.of("first"), START);

    one.recordCrash("target-1", 1, List.of("first", "bad"), START.plusSeconds(1));

    assertEquals(
        List.of(CrashEvidence.of("target-1", 1, List.of("bad"), false)), one.report().crashes());
  }

  @Test
  void should_suspect_all_parts_if_each_had_a_recent_answer() {
    one.recordSound(List.of("first", "bad"), START);

    one.recordCrash("target-1", 1, List.of("first", "bad"), START.plusSeconds(1));

    assertTrue(one.isAnySuspected(List.of("first"), 1, START.plusSeconds(1)));
    assertTrue(one.isAnySuspected(List.of("bad"), 1, START.plusSeconds(1)));
  }

  // A complete answer shortly before proves a part sound, but it may crash targets since.
  @Test
  void should_refuse_a_part_before_its_fifth_crash_although_it_was_answered_shortly_before() {
    one.recordSound(List.of("first", "bad"), START);
    other.recordSound(List.of("first", "bad"), START);

    for (int i = 1; i <= 4; i++) {
      Instant now = START.plusSeconds(2L * i);
      PartQuarantine entry = i % 2 == 0 ? one : other;
      entry.recordCrash("target-" + i, 1, List.of("first", "bad"), now);
      heartbeats(now);
    }
    heartbeats(START.plusSeconds(8).plus(CrashLedger.REPORT_TIME));

    assertEquals(List.of("bad"), leader.quarantinedParts());
  }

  @Test
  void should_tell_the_leader_that_all_parts_of_a_request_had_a_recent_answer() {
    one.recordSound(List.of("first", "context"), START);

    one.recordCrash("target-1", 1, List.of("first", "context"), START.plusSeconds(1));

    assertEquals(
        List.of(CrashEvidence.of("target-1", 1, List.of("first", "context"), true)),
        one.report().crashes());
  }

  @Test
  void should_keep_serving_requests_that_were_under_way_at_two_crashes() {
    one.recordCrash("target-1", 1, List.of("first", "under-way"), START);
    one.recordCrash("target-1", 1, List.of("first", "bad"), START);
    one.recordCrash("target-2", 1, List.of("first", "under-way"), START);
    one.recordCrash("target-2", 1, List.of("first", "bad"), START);
    heartbeats(START);

    one.recordSound(List.of("first", "under-way"), START);
    one.recordCrash("target-3", 1, List.of("first", "bad"), START);
    heartbeats(START);

    assertEquals(List.of("bad"), leader.quarantinedParts());
    assertFalse(one.isAnySuspected(List.of("first", "under-way"), 1, START));
  }

  @Test
  void should_use_its_own_evidence_only_while_the_leader_is_unreachable() {
    heartbeat(one, 1, leader, START);
    for (int i = 1; i <= 3; i++) {
      one.recordCrash("target-" + i, 1, List.of("bad"), START);
    }

    assertFalse(isRefused(one, "bad", START));
    assertTrue(isRefused(one, "bad", START.plus(PartQuarantine.LEADER_TIMEOUT)));
  }

  @Test
  void should_report_again_what_the_leader_has_not_acknowledged() {
    one.recordCrash("target-1", 1, List.of("bad"), START);
    Report lost = one.report();

    Report next = one.report();

    assertEquals(lost, next);
  }

  @Test
  void should_withdraw_evidence_of_a_part_that_is_answered_before_it_is_reported() {
    one.recordCrash("target-1", 1, List.of("bad", "shared"), START);

    one.recordSound(List.of("shared"), START);

    assertEquals(
        List.of(CrashEvidence.of("target-1", 1, List.of("bad"), false)), one.report().crashes());
    assertEquals(List.of("shared"), one.report().soundParts());
  }

  @Test
  void should_carry_quarantined_parts_over_to_a_new_leader() {
    leader.adopt("bad", START);
    heartbeats(START);
    CrashLedger next = CrashLedger.create();

    heartbeat(one, 2, next, START);
    heartbeat(one, 2, next, START);

    assertEquals(List.of("bad"), next.quarantinedParts());
    assertTrue(isRefused(one, "bad", START));
  }

  @Test
  void should_drop_parts_that_the_same_leader_no_longer_lists() {
    leader.adopt("part", START);
    heartbeats(START);

    leader.recordSound("part");
    heartbeats(START);

    assertFalse(isRefused(one, "part", START));
    assertFalse(isRefused(other, "part", START));
  }

  @Test
  void should_drop_parts_of_an_earlier_leader_some_time_after_it_listed_them() {
    leader.adopt("part", START);

    heartbeat(one, 1, leader, START);

    assertTrue(isRefused(one, "part", START.plusSeconds(60)));
    assertFalse(isRefused(one, "part", START.plus(CrashLedger.QUARANTINE_VALIDITY)));
  }

  @Test
  void should_bound_its_reports() {
    for (int i = 0; i < 2 * PartQuarantine.MAX_REPORTED; i++) {
      one.recordCrash("target-" + i, 1, List.of("part-" + i), START);
      other.recordCrash("target-" + i, 1, List.of("part-" + i), START);
      other.recordSound(List.of("part-" + i), START);
    }

    assertEquals(PartQuarantine.MAX_REPORTED, one.report().crashes().size());
    assertEquals(PartQuarantine.MAX_REPORTED, other.report().soundParts().size());
  }

  // Such a report ended each control process that came to lead, and failed at the instance itself.
  @Test
  void should_report_crashes_under_prompts_of_thousands_of_parts_one_after_the_other() {
    for (int i = 1; i <= 3; i++) {
      int number = i;
      List<String> parts = new ArrayList<>(List.of("bad"));
      IntStream.range(0, 3000).forEach(k -> parts.add("block-" + number + "-" + k));
      one.recordCrash("target-" + i, 1, parts, START);
    }

    int crashesOfFirst = one.report().crashes().size();
    heartbeats(START);
    heartbeats(START);

    assertEquals(1, crashesOfFirst);
    assertEquals(List.of(), one.report().crashes());
    assertEquals(List.of("bad"), leader.quarantinedParts());
  }

  /** Crashes that follow one another faster than heartbeats, as in the failed test of the fleet. */
  private static final int CRASHES = 4;

  private static final int ORDERS = 2000;
  private static final int REPORTED_AFTER_MILLIS = 300;
  private static final int HEARTBEAT_MILLIS = 150;
  private static final int LATE_HEARTBEAT_MILLIS = 900;

  private void proveAt(PartQuarantine instance) {
    instance.recordSound(
        List.of("first", "context-1", "context-3", "context-5", "context-7", "context-19"), START);
  }

  /** Replays the crashes of the failed run at its two entries, with the cause at either. */
  private void replayFailedRun(PartQuarantine ofRequest244, PartQuarantine ofRequest246) {
    proveAt(one);
    proveAt(other);
    other.recordCrash("target-0", 1000, List.of("first", "context-7"), START);
    one.recordCrash("target-0", 1000, List.of("first", "context-19"), START);
    ofRequest244.recordCrash("target-0", 1000, List.of("first", "context-3", "crashing"), START);
    one.recordCrash("target-1", 1000, List.of("first", "context-1"), START);
    ofRequest246.recordCrash("target-1", 1000, List.of("first", "context-5", "crashing"), START);
    ofRequest246.recordCrash("target-3", 1000, List.of("first", "context-5", "crashing"), START);
    one.recordCrash("target-3", 1000, List.of("first", "context-1"), START);
    heartbeat(one, 1, leader, START);
    other.recordCrash("target-2", 1000, List.of("first", "context-7"), START);
    heartbeat(other, 1, leader, START);
    one.recordCrash("target-3", 1000, List.of("first", "context-19"), START);
    ofRequest244.recordCrash("target-2", 1000, List.of("first", "context-3", "crashing"), START);
    heartbeats(START);
    heartbeats(START.plusSeconds(5));
  }

  @Test
  void should_not_refuse_the_shared_part_if_the_cause_is_reported_by_both_entries() {
    replayFailedRun(other, one);

    assertEquals(List.of("crashing"), leader.quarantinedParts());
  }

  @Test
  void should_not_refuse_the_shared_part_if_the_cause_is_reported_by_the_entry_that_comes_last() {
    replayFailedRun(other, other);

    assertEquals(List.of("crashing"), leader.quarantinedParts());
  }

  @Test
  void should_not_refuse_the_shared_part_by_the_evidence_of_one_entry_without_a_leader() {
    replayFailedRun(other, other);

    Instant later = START.plusSeconds(5).plus(PartQuarantine.LEADER_TIMEOUT);

    assertFalse(isRefused(one, "first", later));
    assertFalse(isRefused(other, "first", later));
  }

  @Test
  void should_find_the_cause_whatever_the_order_of_the_reports() {
    List<String> proven = List.of("first", "context-0", "context-1");

    assertEquals(List.of(), ordersThatMissTheCause(proven));
  }

  @Test
  void should_find_a_cause_that_was_answered_shortly_before_whatever_the_order_of_the_reports() {
    List<String> proven = List.of("first", "context-0", "context-1", "crashing");

    assertEquals(List.of(), ordersThatMissTheCause(proven));
  }

  /** Returns the seeds of the orders after which not the cause alone is quarantined. */
  private static List<Integer> ordersThatMissTheCause(List<String> proven) {
    return IntStream.range(0, ORDERS)
        .filter(seed -> !new ReportOrder(seed).leadsToTheCause(proven))
        .boxed()
        .toList();
  }

  /** One order of the reports of several crashes that the same part caused at two entries. */
  private static final class ReportOrder {

    private final Random random;
    private final CrashLedger ledger = CrashLedger.create();
    private final List<PartQuarantine> entries =
        List.of(PartQuarantine.create(), PartQuarantine.create());
    private final List<Step> steps = new ArrayList<>();

    /** What happens at one entry at one time. */
    private record Step(Instant at, Runnable change) {}

    private ReportOrder(int seed) {
      random = new Random(seed);
    }

    private boolean leadsToTheCause(List<String> proven) {
      entries.forEach(entry -> entry.recordSound(proven, START));
      for (int crash = 0; crash < CRASHES; crash++) {
        addReports(crash, START.plusMillis(100 + 100 * crash));
      }
      entries.forEach(this::addHeartbeats);
      steps.sort(Comparator.comparing(Step::at));
      steps.forEach(step -> step.change.run());
      return ledger.quarantinedParts().equals(List.of("crashing"));
    }

    /** Adds a request with the cause at one entry, and sound ones at either or both. */
    private void addReports(int crash, Instant at) {
      addReport(entries.get(random.nextInt(2)), crash, at, "first", "context-0", "crashing");
      for (PartQuarantine entry : entries) {
        if (random.nextInt(4) > 0) {
          addReport(entry, crash, at, "first", "context-" + random.nextInt(2));
        }
      }
    }

    private void addReport(PartQuarantine entry, int crash, Instant crashedAt, String... parts) {
      Instant at = crashedAt.plusMillis(random.nextInt(REPORTED_AFTER_MILLIS));
      steps.add(new Step(at, () -> entry.recordCrash("target-" + crash, 1, List.of(parts), at)));
    }

    private void addHeartbeats(PartQuarantine entry) {
      Instant at = START;
      while (at.isBefore(START.plusSeconds(6))) {
        at = at.plusMillis(HEARTBEAT_MILLIS + random.nextInt(LATE_HEARTBEAT_MILLIS));
        Instant sentAt = at;
        steps.add(new Step(sentAt, () -> heartbeat(entry, 1, ledger, sentAt)));
      }
    }
  }
}

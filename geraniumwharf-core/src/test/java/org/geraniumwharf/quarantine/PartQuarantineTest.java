package org.geraniumwharf.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
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
  private void heartbeat(PartQuarantine instance, long term, CrashLedger ledger, Instant now) {
    Report report = instance.report();
    report.quarantinedParts().forEach(part -> ledger.adopt(part, now));
    report.soundParts().forEach(ledger::recordSound);
    report.crashes().forEach(evidence -> ledger.recordCrash(evidence, now));
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

    assertTrue(other.isAnySuspected(List.of("first", "bad"), START));
    assertFalse(other.isAnySuspected(List.of("first"), START));
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

    assertEquals(List.of(CrashEvidence.of("target-1", 1, List.of("bad"))), one.report().crashes());
  }

  @Test
  void should_suspect_all_parts_if_each_had_a_recent_answer() {
    one.recordSound(List.of("first", "bad"), START);

    one.recordCrash("target-1", 1, List.of("first", "bad"), START.plusSeconds(1));

    assertTrue(one.isAnySuspected(List.of("first"), START.plusSeconds(1)));
    assertTrue(one.isAnySuspected(List.of("bad"), START.plusSeconds(1)));
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
    assertFalse(one.isAnySuspected(List.of("first", "under-way"), START));
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

    assertEquals(List.of(CrashEvidence.of("target-1", 1, List.of("bad"))), one.report().crashes());
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
}

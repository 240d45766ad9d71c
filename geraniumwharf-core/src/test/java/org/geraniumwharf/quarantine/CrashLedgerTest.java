package org.geraniumwharf.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.CrashEvidence;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final int LENGTH_SEEDS = 200;

  /** Parts that a header of 16 KiB has room for. */
  private static final int MAX_LENGTH = 4096;

  private final CrashLedger ledger = CrashLedger.create();

  private List<QuarantineChange> crash(int number, String... parts) {
    return ledger.recordCrash(
        CrashEvidence.of("target-" + number, number, List.of(parts), false),
        START.plusSeconds(number));
  }

  /** Records a crash under a request whose parts were all proven sound shortly before. */
  private void crashAfterProof(int number, String... parts) {
    ledger.recordCrash(
        CrashEvidence.of("target-" + number, number, List.of(parts), true),
        START.plusSeconds(number));
  }

  /** Decides once all reports of a crash have had the time to arrive. */
  private List<QuarantineChange> decideAfter(int number) {
    return ledger.quarantineReported(START.plusSeconds(number).plus(CrashLedger.REPORT_TIME));
  }

  @Test
  void should_quarantine_a_part_after_three_distinct_crashes() {
    crash(1, "bad");
    crash(2, "bad");

    List<QuarantineChange> changes = crash(3, "bad");

    assertEquals(List.of("bad"), ledger.quarantinedParts());
    assertEquals(3, changes.get(0).crashes());
    assertTrue(changes.get(0).isQuarantined());
  }

  @Test
  void should_count_a_crash_once_that_several_instances_report() {
    crash(1, "bad", "a");
    crash(1, "bad", "b");
    crash(1, "bad", "c");

    assertEquals(1, ledger.crashes("bad"));
    assertFalse(ledger.isQuarantined("bad"));
  }

  @Test
  void should_count_each_process_of_a_target() {
    for (int incarnation = 1; incarnation <= 3; incarnation++) {
      ledger.recordCrash(CrashEvidence.of("target", incarnation, List.of("bad"), false), START);
    }

    assertTrue(ledger.isQuarantined("bad"));
  }

  @Test
  void should_clear_a_part_that_is_answered_between_crashes() {
    crash(1, "shared");
    crash(2, "shared");
    ledger.recordSound("shared");

    crash(3, "shared");

    assertFalse(ledger.isQuarantined("shared"));
    assertEquals(1, ledger.crashes("shared"));
  }

  @Test
  void should_not_blame_requests_under_way_at_crashes_that_a_quarantined_part_explains() {
    crash(1, "under-way");
    crash(1, "bad");
    crash(2, "under-way");
    crash(2, "bad");
    crash(3, "bad");

    crash(4, "bad");
    crash(4, "under-way");

    assertEquals(List.of("bad"), ledger.quarantinedParts());
    assertFalse(ledger.isSuspected("under-way"));
  }

  // A request under way, reported first, must not hide the part that crashes targets.
  @Test
  void should_quarantine_the_cause_after_a_request_under_way_at_the_same_crashes() {
    for (int i = 1; i <= 3; i++) {
      crash(i, "under-way");
      crash(i, "bad");
    }

    crash(4, "bad");

    assertEquals(List.of("under-way", "bad"), ledger.quarantinedParts());
  }

  // A part that all requests share must not be quarantined for good because a request without the
  // cause is the first whose end at the third crash is reported.
  @Test
  void should_wait_for_the_request_with_the_cause_when_one_without_it_is_reported_first() {
    crash(1, "first", "a", "bad");
    crash(2, "first", "b", "bad");

    List<QuarantineChange> early = crash(3, "first", "c");
    crash(3, "first", "d", "bad");

    assertEquals(List.of(), early);
    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  @Test
  void should_wait_for_all_reports_of_a_crash_before_it_counts_against_a_proven_part() {
    for (int i = 1; i <= 4; i++) {
      crashAfterProof(i, "first", "under-way");
    }
    Instant reported = START.plusSeconds(4).plus(CrashLedger.REPORT_TIME);

    List<QuarantineChange> early = ledger.quarantineReported(reported.minusMillis(1));
    List<QuarantineChange> atTime = ledger.quarantineReported(reported);

    assertEquals(List.of(), early);
    assertEquals(List.of("under-way"), atTime.stream().map(QuarantineChange::part).toList());
  }

  @Test
  void should_need_one_crash_more_against_a_part_that_was_always_proven() {
    for (int i = 1; i <= 3; i++) {
      crashAfterProof(i, "part");
    }

    assertEquals(List.of(), decideAfter(3));
    assertTrue(ledger.isSuspected("part"));
  }

  @Test
  void should_not_blame_a_proven_part_for_crashes_that_a_quarantined_part_explains() {
    for (int i = 1; i <= 3; i++) {
      crashAfterProof(i, "first", "under-way");
      crash(i, "bad");
    }

    crashAfterProof(4, "first", "under-way");
    crash(4, "bad");
    List<QuarantineChange> changes = decideAfter(4);

    assertEquals(List.of(), changes);
    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  @Test
  void should_not_postpone_the_cause_for_proven_parts_of_requests_under_way() {
    for (int i = 1; i <= 2; i++) {
      crashAfterProof(i, "first", "under-way");
      crash(i, "bad");
    }

    crash(3, "bad");

    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  @Test
  void should_not_count_crashes_against_a_proven_part_that_a_likelier_part_had() {
    for (int i = 1; i <= 2; i++) {
      crashAfterProof(i, "first");
      crash(i, "bad");
    }

    crashAfterProof(3, "first");
    crashAfterProof(4, "first");

    assertEquals(List.of(), decideAfter(4));
  }

  @Test
  void should_quarantine_a_proven_part_at_its_fifth_crash_whatever_likelier_parts_had() {
    for (int i = 1; i <= 2; i++) {
      crashAfterProof(i, "bad");
      crash(i, "other");
    }

    for (int i = 3; i <= 5; i++) {
      crashAfterProof(i, "bad");
    }
    decideAfter(5);

    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  // Daemons of the version before don't say whether the parts were proven.
  @Test
  void should_decide_at_once_by_evidence_that_does_not_tell_of_proofs() throws IOException {
    for (int i = 1; i <= 3; i++) {
      String text = "{\"target\":\"target-" + i + "\",\"incarnation\":1,\"parts\":[\"bad\"]}";
      ledger.recordCrash(Codec.json().decode(text.getBytes(UTF_8), CrashEvidence.class), START);
    }

    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  // An instance that started lately has no answers of its own yet.
  @Test
  void should_believe_a_proof_at_one_instance_beside_a_report_without_one_of_another() {
    for (int i = 1; i <= 3; i++) {
      crashAfterProof(i, "first", "under-way");
      crash(i, "first", "under-way-" + i);
    }

    assertEquals(List.of(), decideAfter(3));
    assertEquals(List.of(), ledger.quarantinedParts());
  }

  @Test
  void should_tell_once_for_each_crash_that_the_quarantine_of_a_part_waits() {
    crash(1, "first", "a", "bad");
    crash(2, "first", "b", "bad");
    crash(3, "first", "c");
    crash(3, "first", "c");

    List<CrashLedger.WaitingPart> waiting = ledger.takeWaiting();

    assertEquals(List.of(new CrashLedger.WaitingPart("first", 3)), waiting);
    assertEquals(List.of(), ledger.takeWaiting());
  }

  @Test
  void should_not_wait_longer_than_one_crash_for_a_request_with_a_deeper_part() {
    crash(1, "first", "a", "under-way");
    crash(2, "first", "b", "under-way");
    crash(3, "first", "c");

    crash(4, "first", "d");

    assertEquals(List.of("first"), ledger.quarantinedParts());
  }

  @Test
  void should_quarantine_the_deepest_of_parts_with_the_same_crashes() {
    crash(1, "first", "bad", "a");
    crash(2, "first", "bad", "b");
    crash(3, "first", "bad", "c");

    assertEquals(List.of("bad"), ledger.quarantinedParts());
    assertTrue(ledger.isSuspected("first"));
  }

  @Test
  void should_quarantine_the_next_part_if_crashes_go_on_without_the_deepest() {
    crash(1, "bad", "after");
    crash(2, "bad", "after");
    crash(3, "bad", "after");

    crash(4, "bad", "other");

    assertEquals(List.of("after", "bad"), ledger.quarantinedParts());
  }

  @Test
  void should_release_a_quarantined_part_that_is_answered() {
    ledger.adopt("part", START);

    List<QuarantineChange> changes = ledger.recordSound("part");

    assertFalse(changes.get(0).isQuarantined());
    assertEquals(List.of(), ledger.quarantinedParts());
  }

  @Test
  void should_forget_evidence_that_is_old() {
    crash(1, "part");
    crash(2, "part");

    ledger.expire(START.plusSeconds(2).plus(CrashLedger.EVIDENCE_VALIDITY));
    crash(90, "part");

    assertEquals(1, ledger.crashes("part"));
  }

  @Test
  void should_release_a_part_some_time_after_its_last_crash() {
    for (int i = 1; i <= 4; i++) {
      crash(i, "bad");
    }
    Instant end = START.plusSeconds(4).plus(CrashLedger.QUARANTINE_VALIDITY);

    List<QuarantineChange> early = ledger.expire(end.minusMillis(1));
    List<QuarantineChange> atEnd = ledger.expire(end);

    assertEquals(List.of(), early);
    assertEquals(1, atEnd.size());
  }

  @Test
  void should_bound_the_parts_and_keep_one_that_crashes_again() {
    for (int i = 0; i < CrashLedger.MAX_SUSPECTED_PARTS; i++) {
      crash(1, "part-" + i);
    }
    crash(2, "part-0");
    crash(2, "another");

    assertEquals(CrashLedger.MAX_LISTED_PARTS, ledger.suspectedParts().size());
    assertTrue(ledger.isSuspected("part-0"));
    assertFalse(ledger.isSuspected("part-1"));
    assertTrue(ledger.isSuspected("part-2"));
  }

  // A prompt may have more parts than are kept; dropping some of the same report failed, and every
  // leader ended on that report.
  @Test
  void should_keep_all_parts_of_the_newest_report_however_many_they_are() {
    for (int i = 1; i <= 3; i++) {
      List<String> parts = new ArrayList<>(List.of("bad"));
      for (int k = 0; k <= CrashLedger.MAX_SUSPECTED_PARTS; k++) {
        parts.add("block-" + i + "-" + k);
      }
      crash(i, parts.toArray(String[]::new));
    }

    assertEquals(List.of("bad"), ledger.quarantinedParts());
  }

  // Prompts of over 512 parts kept the part that crashes targets from being found.
  @Test
  void should_find_the_cause_at_any_depth_of_prompts_of_any_length() {
    List<Integer> missed =
        IntStream.range(0, LENGTH_SEEDS).filter(seed -> !findsCause(seed)).boxed().toList();

    assertEquals(List.of(), missed);
  }

  /**
   * Draws three prompts that have nothing in common but one part, at a place of its own in each.
   */
  private static boolean findsCause(int seed) {
    Random random = new Random(seed);
    CrashLedger drawn = CrashLedger.create();
    for (int i = 1; i <= 3; i++) {
      List<String> parts = new ArrayList<>();
      int length = random.nextInt(random.nextBoolean() ? 20 : MAX_LENGTH);
      for (int k = 0; k < length; k++) {
        parts.add("own-" + i + "-" + k);
      }
      parts.add(random.nextInt(length + 1), "bad");
      drawn.recordCrash(CrashEvidence.of("target-" + i, 1, parts, false), START.plusSeconds(i));
    }
    return drawn.quarantinedParts().equals(List.of("bad"));
  }
}

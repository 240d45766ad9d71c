package org.geraniumwharf.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;
import org.junit.jupiter.api.Test;

class TargetPermitsTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final String TARGET = "target-1";

  private int requestedReports;
  private final TargetPermits permits = TargetPermits.create("entry-1", () -> requestedReports++);

  @Test
  void should_need_no_permit_for_a_target_without_a_limit() {
    assertTrue(isAvailable(0));
    assertTrue(take(0).isPresent());
    assertEquals(at(0), permits.expectedAt(TARGET, 1, "r1", at(0)));
  }

  @Test
  void should_send_nothing_to_a_limited_target_before_the_leader_has_answered() {
    limit(4, 0);

    assertFalse(isAvailable(0));
    assertFalse(isAvailable(1000));
    assertTrue(take(500).isEmpty());
    assertEquals(1, requestedReports);
  }

  @Test
  void should_send_as_many_requests_as_there_are_permits() {
    limit(4, 0);
    grant(2, 0, 10, 20);

    assertTrue(take(30).isPresent());
    assertTrue(take(30).isPresent());
    assertTrue(take(30).isEmpty());
    assertEquals(new TargetPermits.Counts(2, 2, 0, 0), permits.counts());
  }

  @Test
  void should_drop_permits_that_were_not_used_in_time() {
    limit(4, 0);
    grant(2, 0, 10, 900);

    assertTrue(isAvailable(1009));
    assertFalse(isAvailable(1010));
    assertEquals(new TargetPermits.Counts(2, 0, 2, 0), permits.counts());
  }

  @Test
  void should_use_a_permit_again_whose_request_was_not_sent() {
    limit(4, 0);
    grant(1, 0, 10, 20);
    Permit taken = take(30).orElseThrow();

    assertTrue(permits.isValid(taken, at(1009)));
    assertFalse(permits.isValid(taken, at(1010)));
    permits.giveBack(taken);

    assertTrue(take(40).isPresent());
  }

  @Test
  void should_not_send_a_request_without_a_permit_once_its_target_has_a_limit() {
    Permit unlimited = take(0).orElseThrow();

    limit(4, 10);

    assertFalse(permits.isValid(unlimited, at(20)));
  }

  @Test
  void should_drop_the_permits_of_a_limit_that_was_lowered() {
    limit(40, 0);
    grant(9, 0, 10, 20);

    limit(4, 100);

    assertFalse(isAvailable(110));
  }

  @Test
  void should_ignore_permits_that_were_asked_for_before_the_limit_changed() {
    limit(40, 0);
    limit(4, 100);

    grant(9, 0, 90, 120);

    assertFalse(isAvailable(130));
  }

  @Test
  void should_not_apply_a_limit_to_a_later_process() {
    limit(4, 0);

    assertTrue(permits.isAvailable(TARGET, 2, at(10)));
  }

  @Test
  void should_report_requests_that_wait_and_those_that_are_expected() {
    limit(20, 0);
    permits.addWaiting(TARGET, 1, "r1", at(10));
    permits.addWaiting(TARGET, 1, "r1", at(70));
    permits.addWaiting(TARGET, 1, "r2", at(70));
    permits.recordSteered(TARGET, 1, at(80));

    assertEquals(List.of(PermitDemand.of(TARGET, 1, 2, 3)), permits.report(at(100)).demands());
    permits.removeWaiting("r1");
    permits.removeWaiting("r2");
    assertTrue(permits.report(at(500)).demands().isEmpty());
  }

  @Test
  void should_ask_for_a_report_when_a_waiting_request_could_get_a_permit_now() {
    limit(4, 0);
    grant(0, 2000, 10, 20);

    permits.addWaiting(TARGET, 1, "r1", at(100));
    assertEquals(1, requestedReports);

    grant(0, 0, 150, 160);
    permits.addWaiting(TARGET, 1, "r2", at(500));
    assertEquals(2, requestedReports);
  }

  @Test
  void should_expect_a_permit_behind_the_requests_of_others_and_its_own() {
    limit(4, 0);
    grant(0, 1000, 10, 20);
    permits.addWaiting(TARGET, 1, "r1", at(30));
    permits.addWaiting(TARGET, 1, "r2", at(30));

    Instant first = permits.expectedAt(TARGET, 1, "r1", at(30));
    Instant second = permits.expectedAt(TARGET, 1, "r2", at(30));
    Instant third = permits.expectedAt(TARGET, 1, "r3", at(30));

    assertFalse(first.isBefore(at(1020)));
    assertEquals(first.plusMillis(250), second);
    assertEquals(first.plusMillis(500), third);
  }

  @Test
  void should_tell_before_when_no_waiting_request_gets_a_permit() {
    limit(4, 0);
    PermitGrant grant = PermitGrant.of(TARGET, 1, 0, 5000, 2000);
    permits.applyAnswer(new TargetPermits.Answer(1, List.of(), List.of(grant)), at(10), at(20));

    assertEquals(at(2020), permits.earliestAt(TARGET, 1, at(30)));
    assertEquals(at(30), permits.earliestAt("target-2", 1, at(30)));
  }

  @Test
  void should_learn_limits_that_other_entries_met() {
    LimitReport known = LimitReport.of(TARGET, 1, 4, 300);

    permits.applyAnswer(new TargetPermits.Answer(2, List.of(known), List.of()), at(0), at(10));

    assertFalse(isAvailable(20));
  }

  @Test
  void should_use_a_small_share_without_answers_of_the_leader() {
    limit(4, 0);

    assertFalse(isAvailable(1010));
    assertTrue(isAvailable(2000));
    assertTrue(take(2000).isPresent());
    assertFalse(isAvailable(2010));
  }

  @Test
  void should_send_freely_again_after_the_limit_ended() {
    limit(4, 0);

    permits.recordResponse(TARGET, 1, RequestLimit.none(), at(10), at(20));

    assertTrue(isAvailable(30));
  }

  private void limit(double requestsPerSecond, long millis) {
    permits.recordResponse(TARGET, 1, RequestLimit.of(requestsPerSecond), at(millis), at(millis));
  }

  private void grant(int count, long waitMillis, long reportedMillis, long millis) {
    PermitGrant grant = PermitGrant.of(TARGET, 1, count, waitMillis, waitMillis);
    permits.applyAnswer(
        new TargetPermits.Answer(1, List.of(), List.of(grant)), at(reportedMillis), at(millis));
  }

  private boolean isAvailable(long millis) {
    return permits.isAvailable(TARGET, 1, at(millis));
  }

  private Optional<Permit> take(long millis) {
    return permits.take(TARGET, 1, at(millis));
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}

package org.geraniumwharf.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;
import org.junit.jupiter.api.Test;

class PermitIssuerTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final String TARGET = "target-1";

  private final PermitIssuer issuer = PermitIssuer.create();

  @Test
  void should_start_without_permits() {
    limit(4, 0);

    assertEquals(0, issue("entry-1", 5, 0, 0).permits());
    assertEquals(250, issue("entry-1", 5, 0, 0).waitMillis());
  }

  @Test
  void should_issue_permits_to_waiting_requests_at_the_rate_of_the_limit() {
    limit(4, 0);
    issue("entry-1", 5, 0, 0);

    assertEquals(1, issue("entry-1", 5, 0, 250).permits());
    assertEquals(0, issue("entry-1", 4, 0, 400).permits());
    assertEquals(1, issue("entry-1", 4, 0, 500).permits());
  }

  @Test
  void should_serve_requests_in_the_order_in_which_entries_reported_them() {
    limit(4, 0);
    issue("entry-1", 1, 0, 0);
    issue("entry-2", 1, 0, 100);

    assertEquals(0, issue("entry-2", 1, 0, 260).permits());
    assertEquals(1, issue("entry-1", 1, 0, 270).permits());
    assertEquals(1, issue("entry-2", 1, 0, 510).permits());
  }

  @Test
  void should_not_let_an_entry_wait_behind_one_that_has_fallen_silent() {
    limit(4, 0);
    issue("entry-1", 100, 0, 0);
    issue("entry-2", 1, 0, 400);

    assertEquals(1, issue("entry-2", 1, 0, 800).permits());
  }

  @Test
  void should_tell_an_entry_how_long_the_requests_of_others_wait() {
    limit(4, 0);
    issue("entry-1", 3, 0, 0);

    assertEquals(1000, issue("entry-2", 1, 0, 0).waitMillis());
  }

  @Test
  void should_tell_an_entry_how_long_its_first_request_waits() {
    limit(4, 0);
    issue("entry-1", 3, 0, 0);
    issue("entry-2", 1, 0, 0);

    assertEquals(250, issue("entry-1", 3, 0, 0).firstWaitMillis());
    assertEquals(1000, issue("entry-2", 1, 0, 0).firstWaitMillis());
  }

  @Test
  void should_issue_permits_in_advance_from_what_no_waiting_request_needs() {
    limit(10, 0);

    assertEquals(0, issue("entry-1", 0, 3, 300).permits());
    assertEquals(2, issue("entry-1", 0, 3, 500).permits());
  }

  @Test
  void should_not_accumulate_permits_without_end() {
    limit(10, 0);

    assertEquals(7, issue("entry-1", 100, 0, 60_000).permits());
  }

  @Test
  void should_issue_fewer_permits_after_a_limit_was_lowered() {
    limit(100, 0);
    issue("entry-1", 1, 0, 1000);
    limit(1, 1000);

    assertTrue(issue("entry-1", 100, 0, 1000).permits() <= 1);
    assertEquals(0, issue("entry-1", 100, 0, 1100).permits());
  }

  @Test
  void should_neither_limit_nor_grant_after_a_limit_ended() {
    limit(4, 0);
    limit(0, 1000);

    assertTrue(issuer.issue("entry-1", List.of(), at(2000)).isEmpty());
    assertEquals(0, issuer.limits(at(2000)).get(0).requestsPerSecond());
  }

  @Test
  void should_issue_nothing_for_an_earlier_process_of_a_target() {
    limit(4, 0);
    issuer.recordLimits(List.of(LimitReport.of(TARGET, 2, 4, 0)), at(0));

    PermitGrant grant = issue("entry-1", 5, 0, 5000);

    assertEquals(0, grant.permits());
    assertEquals(2, grant.incarnation());
  }

  @Test
  void should_forget_targets_that_are_gone() {
    limit(4, 0);

    issuer.retainTargets(Set.of(), at(120_000));

    assertTrue(issuer.limits(at(120_000)).isEmpty());
    assertTrue(issuer.issue("entry-1", List.of(), at(120_000)).isEmpty());
  }

  private void limit(double requestsPerSecond, long millis) {
    issuer.recordLimits(List.of(LimitReport.of(TARGET, 1, requestsPerSecond, 0)), at(millis));
  }

  private PermitGrant issue(String entry, int waiting, int expected, long millis) {
    return issuer
        .issue(entry, List.of(PermitDemand.of(TARGET, 1, waiting, expected)), at(millis))
        .get(0);
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}

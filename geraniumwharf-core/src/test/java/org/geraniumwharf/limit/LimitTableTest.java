package org.geraniumwharf.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LimitTableTest {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final String TARGET = "target-1";

  private final LimitTable table = LimitTable.create();

  @Test
  void should_learn_a_limit_from_any_response() {
    assertTrue(respond(RequestLimit.of(4), 0, 500));

    assertEquals(Optional.of(RequestLimit.of(4)), limitInForce(1));
  }

  @Test
  void should_not_change_on_a_response_without_a_limit() {
    assertFalse(respond(RequestLimit.none(), 0, 500));

    assertTrue(table.all().isEmpty());
  }

  @Test
  void should_lower_a_limit_by_a_response_to_an_earlier_request() {
    respond(RequestLimit.of(4), 0, 500);

    assertTrue(respond(RequestLimit.of(2), 300, 600));
  }

  @Test
  void should_neither_raise_nor_end_a_limit_by_a_response_to_an_earlier_request() {
    respond(RequestLimit.of(4), 0, 500);

    assertFalse(respond(RequestLimit.of(8), 400, 600));
    assertFalse(respond(RequestLimit.none(), 500, 700));
    assertEquals(Optional.of(RequestLimit.of(4)), limitInForce(1));
  }

  @Test
  void should_raise_and_end_a_limit_by_responses_to_later_requests() {
    respond(RequestLimit.of(4), 0, 500);

    assertTrue(respond(RequestLimit.of(8), 501, 600));
    assertTrue(respond(RequestLimit.none(), 602, 700));
    assertEquals(Optional.empty(), limitInForce(1));
  }

  @Test
  void should_not_apply_a_limit_to_a_later_process_of_the_target() {
    respond(RequestLimit.of(4), 0, 500);

    assertEquals(Optional.empty(), limitInForce(2));
  }

  @Test
  void should_keep_the_newest_of_several_reports() {
    table.recordReport(report(4, 500), at(600));

    assertFalse(table.recordReport(report(2, 400), at(700)).isPresent());
    assertTrue(table.recordReport(report(8, 550), at(700)).isPresent());
    assertEquals(Optional.of(RequestLimit.of(8)), limitInForce(1));
  }

  @Test
  void should_not_begin_a_limit_again_by_a_report_from_before_its_end() {
    respond(RequestLimit.of(4), 0, 500);
    respond(RequestLimit.none(), 600, 700);

    assertFalse(table.recordReport(report(4, 500), at(800)).isPresent());
  }

  @Test
  void should_forget_ended_limits_and_those_of_targets_that_are_gone() {
    respond(RequestLimit.of(4), 0, 500);
    table.recordReport(
        new TargetLimit("target-2", 1, RequestLimit.of(3), START), START.plusSeconds(1));

    table.retainTargets(Set.of(TARGET), START.plusSeconds(90));

    assertEquals(Optional.of(RequestLimit.of(4)), limitInForce(1));
    assertEquals(1, table.all().size());
    table.recordReport(
        new TargetLimit(TARGET, 1, RequestLimit.none(), START.plusSeconds(91)), at(0));
    table.retainTargets(Set.of(TARGET), START.plusSeconds(160));
    assertTrue(table.all().isEmpty());
  }

  private boolean respond(RequestLimit limit, long sentMillis, long receivedMillis) {
    return table.recordResponse(TARGET, 1, limit, at(sentMillis), at(receivedMillis)).isPresent();
  }

  private Optional<RequestLimit> limitInForce(long incarnation) {
    return table.inForce(TARGET, incarnation).map(TargetLimit::limit);
  }

  private static TargetLimit report(double rate, long sinceMillis) {
    return new TargetLimit(TARGET, 1, RequestLimit.of(rate), at(sinceMillis));
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }
}

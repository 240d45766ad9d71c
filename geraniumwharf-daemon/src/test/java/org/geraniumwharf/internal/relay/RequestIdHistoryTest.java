package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestIdHistoryTest {

  private final RequestIdHistory history = RequestIdHistory.create();

  @Test
  void should_remember_every_id_until_it_is_full() {
    for (int i = 0; i < RequestIdHistory.CAPACITY; i++) {
      assertFalse(history.isFull());
      history.add("request-" + i);
    }

    assertTrue(history.isFull());
    for (int i = 0; i < RequestIdHistory.CAPACITY; i++) {
      assertTrue(history.mayContain("request-" + i));
    }
  }

  @Test
  void should_not_take_an_id_for_another() {
    history.add("9c41d07be2a35f68");

    assertFalse(history.mayContain("9c41d07be2a35f69"));
  }

  @Test
  void should_count_requests_that_bear_one_id() {
    for (int i = 0; i < RequestIdHistory.CAPACITY; i++) {
      history.add("");
    }

    assertTrue(history.isFull());
  }
}

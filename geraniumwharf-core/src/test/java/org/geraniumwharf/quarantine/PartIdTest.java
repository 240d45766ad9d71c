package org.geraniumwharf.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against ids that a remote makes so long that the evidence against them fills memory. */
class PartIdTest {

  @Test
  void should_keep_an_id_of_usual_length() {
    assertEquals("5c1e07a2", PartId.of("5c1e07a2"));
    assertEquals("a".repeat(64), PartId.of("a".repeat(64)));
  }

  @Test
  void should_tell_long_ids_apart_by_short_ones() {
    String one = PartId.of("a".repeat(16_000) + "1");
    String other = PartId.of("a".repeat(16_000) + "2");

    assertTrue(one.length() <= 64, one);
    assertNotEquals(one, other);
    assertEquals(one, PartId.of("a".repeat(16_000) + "1"));
  }
}

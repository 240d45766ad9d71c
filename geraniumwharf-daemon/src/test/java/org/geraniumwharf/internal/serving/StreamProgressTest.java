package org.geraniumwharf.internal.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.geraniumwharf.internal.target.TargetCallException;
import org.junit.jupiter.api.Test;

class StreamProgressTest {

  private final StreamProgress progress = new StreamProgress("req-1", "quotes");

  @Test
  void should_replace_id_and_model_by_those_of_the_request() throws TargetCallException {
    Optional<String> chunk = progress.accept("engine-1", "a1", token("a1", 0, "w0 "));

    assertTrue(chunk.orElseThrow().contains("\"model\":\"quotes\""), chunk.toString());
    assertTrue(chunk.orElseThrow().contains("chatcmpl-req-1"), chunk.toString());
    assertTrue(!chunk.orElseThrow().contains("geraniumwharf"), chunk.toString());
  }

  @Test
  void should_pass_each_token_on_once_over_two_attempts() throws TargetCallException {
    progress.accept("engine-1", "a1", token("a1", 0, "w0 "));
    progress.accept("engine-1", "a1", token("a1", 1, "w1 "));

    Optional<String> repeated = progress.accept("engine-2", "a2", token("a2", 1, "w1 "));
    progress.accept("engine-2", "a2", token("a2", 2, "w2 "));

    assertTrue(repeated.isEmpty());
    assertEquals("w0 w1 w2 ", progress.text());
    assertEquals(3, progress.tokens());
  }

  @Test
  void should_refuse_a_chunk_of_another_attempt() {
    assertThrows(
        TargetCallException.class, () -> progress.accept("engine-1", "a2", token("a1", 0, "w0 ")));
  }

  @Test
  void should_refuse_a_chunk_that_names_no_attempt() {
    assertThrows(
        TargetCallException.class,
        () -> progress.accept("engine-1", "a1", "{\"choices\":[{\"text\":\"w0 \"}]}"));
  }

  @Test
  void should_refuse_a_chunk_after_a_gap() {
    assertThrows(
        TargetCallException.class, () -> progress.accept("engine-1", "a1", token("a1", 2, "w2 ")));
  }

  private static String token(String attempt, int offset, String text) {
    return String.format(
        "{\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"%s\"}}],"
            + "\"geraniumwharf\":{\"attempt\":\"%s\",\"offset\":%d}}",
        text, attempt, offset);
  }
}

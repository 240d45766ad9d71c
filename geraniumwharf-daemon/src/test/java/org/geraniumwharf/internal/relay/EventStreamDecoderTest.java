package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventStreamDecoderTest {

  private static final String FIRST = "id: 1\ndata: one\n\n";
  private static final String SECOND = "event: piece\r\nid:2\r\ndata: two\r\n\r\n";

  private final EventStreamDecoder stream = new EventStreamDecoder();

  @Test
  void should_cut_whole_events_with_their_ids() {
    List<EventStreamDecoder.StreamEvent> events = feed(FIRST + SECOND);

    assertEquals(2, events.size());
    assertEquals(Optional.of("1"), events.get(0).id());
    assertEquals(FIRST, events.get(0).bytes().toString(StandardCharsets.UTF_8));
    assertEquals(Optional.of("2"), events.get(1).id());
    assertEquals(SECOND, events.get(1).bytes().toString(StandardCharsets.UTF_8));
    assertFalse(stream.hasPartialEvent());
  }

  @Test
  void should_hold_back_an_event_until_it_is_whole() {
    List<EventStreamDecoder.StreamEvent> events = new ArrayList<>();
    for (char next : FIRST.substring(0, FIRST.length() - 1).toCharArray()) {
      events.addAll(feed(String.valueOf(next)));
    }

    assertEquals(List.of(), events);
    assertTrue(stream.hasPartialEvent());
    assertEquals(1, feed("\n").size());
  }

  @Test
  void should_pass_an_event_without_an_id() {
    assertEquals(Optional.empty(), feed("data: id: 7\n\n").get(0).id());
  }

  private List<EventStreamDecoder.StreamEvent> feed(String text) {
    return stream.decode(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }
}

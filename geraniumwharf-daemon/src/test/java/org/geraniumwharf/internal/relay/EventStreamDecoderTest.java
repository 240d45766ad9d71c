package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventStreamDecoderTest {

  private static final String FIRST = "id: 1\ndata: one\n\n";
  private static final String SECOND = "event: piece\r\nid:2\r\ndata: two\r\n\r\n";

  private final EventStreamDecoder decoder = new EventStreamDecoder();

  @Test
  void should_split_the_stream_into_events_with_their_ids() {
    List<EventStreamDecoder.StreamEvent> events = decode(FIRST + SECOND);

    assertEquals(2, events.size());
    assertEquals(Optional.of("1"), events.get(0).id());
    assertEquals(FIRST, events.get(0).bytes().toString(StandardCharsets.UTF_8));
    assertEquals(Optional.of("2"), events.get(1).id());
    assertEquals(SECOND, events.get(1).bytes().toString(StandardCharsets.UTF_8));
    assertEquals(0, decoder.partialEventBytes());
  }

  @Test
  void should_buffer_an_event_until_it_is_complete() {
    List<EventStreamDecoder.StreamEvent> events = new ArrayList<>();
    for (char next : FIRST.substring(0, FIRST.length() - 1).toCharArray()) {
      events.addAll(decode(String.valueOf(next)));
    }

    assertEquals(List.of(), events);
    assertEquals(FIRST.length() - 1, decoder.partialEventBytes());
    assertEquals(1, decode("\n").size());
  }

  @Test
  void should_find_the_end_of_an_event_behind_bytes_that_were_scanned_before() {
    assertEquals(0, decode("data: one\n").size());
    assertEquals(0, decode("\r").size());

    List<EventStreamDecoder.StreamEvent> events = decode("\nid: 2\n\ndata: three");

    assertEquals(2, events.size());
    assertEquals("data: one\n\r\n", events.get(0).bytes().toString(StandardCharsets.UTF_8));
    assertEquals(Optional.of("2"), events.get(1).id());
    assertEquals("data: three".length(), decoder.partialEventBytes());
  }

  @Test
  void should_return_an_event_without_an_id() {
    assertEquals(Optional.empty(), decode("data: id: 7\n\n").get(0).id());
  }

  private List<EventStreamDecoder.StreamEvent> decode(String text) {
    return decoder.decode(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }
}

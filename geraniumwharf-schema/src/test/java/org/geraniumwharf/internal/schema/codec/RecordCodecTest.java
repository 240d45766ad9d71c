package org.geraniumwharf.internal.schema.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.geraniumwharf.schema.messages.Frame;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.Ping;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.StateSnapshot;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class RecordCodecTest {

  private static final int VALUES_PER_TYPE = 40;

  /** The codec by which the logs and the messages of earlier versions were written. */
  private static final ObjectMapper EARLIER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
          .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private static List<Class<?>> types() {
    return Stream.of(
            PeerMessage.class.getPermittedSubclasses(),
            Command.class.getPermittedSubclasses(),
            new Class<?>[] {
              Frame.class, HardState.class, LogEntry.class, Membership.class, StateSnapshot.class
            })
        .<Class<?>>flatMap(Arrays::stream)
        .toList();
  }

  /** Guards against logs and messages that a process of the version before cannot read. */
  @Test
  void should_write_the_bytes_of_the_earlier_codec() throws Exception {
    for (Class<?> type : types()) {
      RandomRecords records = new RandomRecords(type.getName().hashCode());
      for (int i = 0; i < VALUES_PER_TYPE; i++) {
        Object value = records.next(type);

        byte[] bytes = RecordCodec.encode(value);

        assertArrayEquals(EARLIER.writeValueAsBytes(value), bytes, () -> type.getSimpleName());
      }
    }
  }

  @Test
  void should_read_what_the_earlier_codec_wrote() throws Exception {
    for (Class<?> type : types()) {
      RandomRecords records = new RandomRecords(~type.getName().hashCode());
      for (int i = 0; i < VALUES_PER_TYPE; i++) {
        byte[] bytes = EARLIER.writeValueAsBytes(records.next(type));

        Object read = RecordCodec.decode(bytes, type);

        assertArrayEquals(bytes, EARLIER.writeValueAsBytes(read), () -> type.getSimpleName());
      }
    }
  }

  @Test
  void should_read_a_union_by_its_type() throws IOException {
    Frame frame = Frame.of(7, true, Ping.of(3));

    Frame read = RecordCodec.decode(RecordCodec.encode(frame), Frame.class);

    assertEquals(frame, read);
  }

  /** Guards against a process that refuses the messages of a newer one. */
  @Test
  void should_skip_properties_that_it_does_not_know() throws IOException {
    byte[] newer =
        EARLIER.writeValueAsBytes(
            Map.of("type", "ping", "number", 3, "added", List.of(Map.of("deep", 1))));

    assertEquals(Ping.of(3), RecordCodec.decode(newer, Ping.class));
  }

  @Test
  void should_refuse_a_record_without_a_required_property() throws IOException {
    byte[] bytes = EARLIER.writeValueAsBytes(Map.of("voters", List.of()));

    assertThrows(IOException.class, () -> RecordCodec.decode(bytes, LogEntry.class));
  }

  /** Guards against frames of strangers that end the thread of a connection, or take memory. */
  @Test
  void should_refuse_damaged_bytes_by_no_other_exception() throws Exception {
    SplittableRandom random = new SplittableRandom(11);
    RandomRecords records = new RandomRecords(11);
    int refused = 0;
    for (int i = 0; i < 5000; i++) {
      byte[] bytes =
          RecordCodec.encode(Frame.of(1, false, (PeerMessage) records.next(PeerMessage.class)));
      byte[] damaged = Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length));
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
      try {
        RecordCodec.decode(damaged, Frame.class);
      } catch (IOException e) {
        refused++;
      }
    }

    assertTrue(refused > 1000, "only " + refused + " of 5000 damaged frames were refused");
  }
}

package org.geraniumwharf.internal.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.geraniumwharf.schema.messages.Frame;
import org.geraniumwharf.schema.messages.Ping;
import org.junit.jupiter.api.Test;

class FrameCodecTest {

  /** Guards against a part of a message between processes that is taken for a whole one. */
  @Test
  void should_refuse_a_frame_that_is_cut_at_any_byte() throws IOException {
    byte[] whole = bytes(Frame.of(7, false, Ping.of(12)));

    for (int cut = 0; cut < whole.length; cut++) {
      DataInputStream input = input(Arrays.copyOf(whole, cut));
      assertThrows(IOException.class, () -> FrameCodec.read(input, 1000), "cut at " + cut);
    }
    assertEquals(7, FrameCodec.read(input(whole), 1000).correlation());
  }

  private static byte[] bytes(Frame frame) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    FrameCodec.write(new DataOutputStream(output), FrameCodec.encode(frame));
    return output.toByteArray();
  }

  private static DataInputStream input(byte[] bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }
}

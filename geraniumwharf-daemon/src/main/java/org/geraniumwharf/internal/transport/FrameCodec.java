package org.geraniumwharf.internal.transport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.Frame;

/** Frames: length of the rest (4 bytes), protocol version (1 byte), MessagePack of a frame. */
final class FrameCodec {

  static final int PROTOCOL_VERSION = 1;
  static final int MAX_FRAME_BYTES = 64 << 20;
  static final int MAX_HANDSHAKE_BYTES = 64 << 10;

  private FrameCodec() {}

  static byte[] encode(Frame frame) {
    return Codec.messagePack().encode(frame);
  }

  static void write(DataOutputStream output, byte[] body) throws IOException {
    output.writeInt(body.length + 1);
    output.writeByte(PROTOCOL_VERSION);
    output.write(body);
  }

  /**
   * Reads one frame.
   *
   * @throws ProtocolException if it is too large, of another version or unreadable
   */
  static Frame read(DataInputStream input, int maxBytes) throws IOException {
    int length = input.readInt();
    if (length < 1 || length > maxBytes) {
      throw new ProtocolException("frame of " + length + " bytes, allowed are " + maxBytes);
    }
    int version = input.readUnsignedByte();
    if (version != PROTOCOL_VERSION) {
      throw new ProtocolException("frame of protocol version " + version);
    }
    byte[] body = input.readNBytes(length - 1);
    if (body.length < length - 1) {
      throw new EOFException("connection closed inside a frame");
    }
    try {
      return Codec.messagePack().decode(body, Frame.class);
    } catch (IOException | RuntimeException e) {
      throw new ProtocolException("unreadable frame: " + e.getClass().getSimpleName());
    }
  }
}

package org.geraniumwharf.schema;

import java.io.IOException;
import org.geraniumwharf.internal.schema.codec.RecordCodec;

/**
 * Reads and writes the generated records of messages and state as MessagePack, without reflection.
 * Immutable and safe for use by several threads.
 *
 * <pre>{@code
 * byte[] bytes = Codec.messagePack().encode(frame);
 * Frame copy = Codec.messagePack().decode(bytes, Frame.class);
 * }</pre>
 */
public final class MessagePackCodec {

  static final MessagePackCodec INSTANCE = new MessagePackCodec();

  private MessagePackCodec() {}

  /** Encodes a record of messages or state; such a record always has an encoding. */
  public byte[] encode(Object value) {
    return RecordCodec.encode(value);
  }

  /**
   * Decodes one value.
   *
   * @throws IOException if the bytes are not a value of this type
   */
  public <T> T decode(byte[] bytes, Class<T> type) throws IOException {
    return RecordCodec.decode(bytes, type);
  }
}

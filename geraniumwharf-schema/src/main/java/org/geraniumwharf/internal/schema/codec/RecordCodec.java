package org.geraniumwharf.internal.schema.codec;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessagePackException;

/** Encodes and decodes the generated records of messages and state. */
public final class RecordCodec {

  private RecordCodec() {}

  public static byte[] encode(Object value) {
    RecordWriter writer = new RecordWriter();
    try {
      SchemaCodec.write(writer, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return writer.toBytes();
  }

  /**
   * Decodes one value. Properties that are not known here are skipped, so that a newer process may
   * send more.
   *
   * @throws IOException if the bytes are not a value of this type
   */
  public static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
    try {
      return type.cast(SchemaCodec.read(new RecordReader(bytes), type));
    } catch (MessagePackException | NullPointerException e) {
      throw new IOException("the bytes are no " + type.getSimpleName() + ": " + e.getMessage(), e);
    }
  }
}

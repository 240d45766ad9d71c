package org.geraniumwharf.internal.schema.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the values of records as MessagePack; used once. */
final class RecordWriter {

  /** Most messages are shorter; a longer one takes several buffers. */
  private static final int BUFFER_BYTES = 1024;

  private static final MessagePack.PackerConfig CONFIG =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private final MessageBufferPacker packer = CONFIG.newBufferPacker();

  /** Begins a map or a record with a number of entries. */
  void map(int size) throws IOException {
    packer.packMapHeader(size);
  }

  void list(int size) throws IOException {
    packer.packArrayHeader(size);
  }

  /** Writes the name of a property. */
  void name(String name) throws IOException {
    text(name);
  }

  void text(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    packer.packRawStringHeader(bytes.length);
    packer.writePayload(bytes);
  }

  void bytes(byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  void number(long number) throws IOException {
    packer.packLong(number);
  }

  void real(double real) throws IOException {
    packer.packDouble(real);
  }

  void flag(boolean flag) throws IOException {
    packer.packBoolean(flag);
  }

  byte[] toBytes() {
    return packer.toByteArray();
  }

  /** Returns the error for a type that no schema file of messages or state refers to. */
  static IllegalArgumentException unknownType(Class<?> type) {
    return new IllegalArgumentException(type.getName() + " has no MessagePack encoding");
  }
}

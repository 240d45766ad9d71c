package org.geraniumwharf.internal.schema.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** Reads the values of records from MessagePack; used once. */
final class RecordReader {

  private final MessageUnpacker unpacker;
  private final int length;

  RecordReader(byte[] bytes) {
    this.unpacker = MessagePack.newDefaultUnpacker(bytes);
    this.length = bytes.length;
  }

  int map() throws IOException {
    return unpacker.unpackMapHeader();
  }

  int list() throws IOException {
    return unpacker.unpackArrayHeader();
  }

  /** Reads the name of a property. */
  String name() throws IOException {
    return text();
  }

  /** Reads the first property of a union, which names the type. */
  String type(String discriminator) throws IOException {
    if (!name().equals(discriminator)) {
      throw new IOException("expected " + discriminator + " as the first property");
    }
    return text();
  }

  /** Skips a null, which counts as a missing property; returns false at any other value. */
  boolean skipNull() throws IOException {
    return unpacker.tryUnpackNil();
  }

  /** Skips the value of a property that is not known here. */
  void skip() throws IOException {
    unpacker.skipValue();
  }

  String text() throws IOException {
    return new String(payload(unpacker.unpackRawStringHeader()), StandardCharsets.UTF_8);
  }

  byte[] bytes() throws IOException {
    return payload(unpacker.unpackBinaryHeader());
  }

  /** A length beyond the input is refused before memory is taken for it. */
  private byte[] payload(int size) throws IOException {
    if (size > length) {
      throw new IOException("a value of " + size + " bytes in a message of " + length);
    }
    return unpacker.readPayload(size);
  }

  long number() throws IOException {
    return unpacker.unpackLong();
  }

  int smallNumber() throws IOException {
    return unpacker.unpackInt();
  }

  double real() throws IOException {
    MessageFormat format = unpacker.getNextFormat();
    return format.getValueType() == ValueType.INTEGER
        ? unpacker.unpackLong()
        : unpacker.unpackDouble();
  }

  boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  /** Reads the name of a constant and returns its position among the names. */
  int constant(String[] names) throws IOException {
    String name = text();
    for (int i = 0; i < names.length; i++) {
      if (names[i].equals(name)) {
        return i;
      }
    }
    throw unknownName("constant", name);
  }

  static IOException unknownName(String expected, String found) {
    return new IOException("unknown " + expected + " " + found);
  }
}

package org.geraniumwharf.internal.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Layout of one record: magic number (4 bytes), length of the body (4), CRC-32C of length and body
 * (4), body. Because of the magic number a reader finds valid records after a damaged one, which
 * distinguishes a damaged file from an incomplete last write.
 */
final class RecordFormat {

  static final int HEADER_BYTES = 12;

  private static final int MAGIC = 0x47575243;
  private static final int MAX_BODY_BYTES = 64 << 20;

  private RecordFormat() {}

  static ByteBuffer encode(byte[] body) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
    buffer.putInt(MAGIC).putInt(body.length).putInt(checksum(body)).put(body);
    return buffer.flip();
  }

  /** Returns the body of the record at an offset; empty if there is no complete, valid record. */
  static Optional<byte[]> decodeAt(byte[] file, int offset) {
    if (file.length - offset < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(file, offset, file.length - offset);
    if (buffer.getInt() != MAGIC) {
      return Optional.empty();
    }
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    if (length < 0 || length > MAX_BODY_BYTES || length > buffer.remaining()) {
      return Optional.empty();
    }
    byte[] body = new byte[length];
    buffer.get(body);
    return checksum(body) == checksum ? Optional.of(body) : Optional.empty();
  }

  /** Returns whether any valid record starts after an offset. */
  static boolean hasRecordAfter(byte[] file, int offset) {
    for (int i = offset + 1; i <= file.length - HEADER_BYTES; i++) {
      if (decodeAt(file, i).isPresent()) {
        return true;
      }
    }
    return false;
  }

  private static int checksum(byte[] body) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).flip());
    crc.update(body);
    return (int) crc.getValue();
  }
}
